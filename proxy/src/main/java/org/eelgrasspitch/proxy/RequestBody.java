package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Body of a request at its entry node. Up to {@link CallListener#WINDOW_BYTES} are kept,
 * so that the request can be retried or hedged; the rest of a longer body is streamed,
 * and the request can be sent only once.
 */
final class RequestBody {

	/** Parts that are kept for retries and hedges. */
	private final List<byte[]> keptParts = new ArrayList<>();

	/** Parts beyond the kept ones that wait for credit. */
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
	 * Returns whether enough has arrived to send the request to a target.
	 * @return true if the body is complete or too long to be kept
	 */
	boolean isReady() {
		return this.complete || this.streamed;
	}

	/**
	 * Returns whether the body has parts that are not kept.
	 * @return true if the request cannot be sent again
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
