package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The body of a request at its entry. Up to {@link CallListener#WINDOW_BYTES} are kept,
 * so that the request can be sent again; a longer body streams through, and cannot be
 * repeated.
 */
final class RequestBody {

	/** Parts that are kept for repeats. */
	private final List<byte[]> keptParts = new ArrayList<>();

	/** Parts beyond the kept ones that wait for permission to be sent. */
	private final Deque<byte[]> unsentParts = new ArrayDeque<>();

	private int keptBytes;

	private long totalBytes;

	private boolean streamed;

	private boolean complete;

	RequestBody(boolean complete) {
		this.complete = complete;
	}

	void add(byte[] content) {
		this.totalBytes += content.length;
		if (content.length == 0) {
			return;
		}
		if (this.streamed || this.keptBytes + content.length > CallListener.WINDOW_BYTES) {
			this.streamed = true;
			this.unsentParts.add(content);
			return;
		}
		this.keptParts.add(content);
		this.keptBytes += content.length;
	}

	void complete() {
		this.complete = true;
	}

	boolean isComplete() {
		return this.complete;
	}

	/**
	 * Tells whether enough has arrived to send the request on.
	 * @return true when the body is complete, or too long to be kept
	 */
	boolean isReady() {
		return this.complete || this.streamed;
	}

	/**
	 * Tells whether parts were passed on that are not kept.
	 * @return true when the request cannot be sent again
	 */
	boolean isStreamed() {
		return this.streamed;
	}

	long totalBytes() {
		return this.totalBytes;
	}

	List<byte[]> keptParts() {
		return this.keptParts;
	}

	Deque<byte[]> unsentParts() {
		return this.unsentParts;
	}

	byte[] keptContent() {
		ByteArrayOutputStream content = new ByteArrayOutputStream(this.keptBytes);
		this.keptParts.forEach(content::writeBytes);
		return content.toByteArray();
	}

	void clear() {
		this.keptParts.clear();
		this.unsentParts.clear();
	}

}
