package org.eelgrasspitch.proxy;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.mesh.TargetLoad;

/**
 * One send of a request to one target. What arrives after the exchange has turned to
 * another target, or has ended, is ignored.
 */
final class Attempt implements CallListener {

	private final Exchange exchange;

	private final TargetEntry target;

	private final long sentAtMillis;

	/** Parts of the answer that are held until it is complete. */
	private final List<byte[]> heldParts = new ArrayList<>();

	private int heldBytes;

	/** Where the rest of the call goes; null until it was opened. */
	private CallHandle handle;

	/** The answer's head; null before it arrived. */
	private ReplyHead reply;

	private int bodyCreditBytes = WINDOW_BYTES;

	private int nextPart;

	/** Whether the home may start the request. */
	private boolean permitted;

	/** Whether the home asked before it was known where the rest of the call goes. */
	private boolean startRequestedEarly;

	private boolean lastSent;

	Attempt(Exchange exchange, TargetEntry target, long sentAt) {
		this.exchange = exchange;
		this.target = target;
		this.sentAtMillis = sentAt;
	}

	TargetEntry target() {
		return this.target;
	}

	long sentAtMillis() {
		return this.sentAtMillis;
	}

	/**
	 * Returns the answer's head.
	 * @return the head, or null before it arrived
	 */
	ReplyHead reply() {
		return this.reply;
	}

	void cancel() {
		if (this.handle != null) {
			this.handle.cancel();
		}
	}

	/**
	 * Another attempt answers the request.
	 */
	void supersede() {
		if (this.handle != null) {
			this.handle.supersede();
		}
	}

	/**
	 * The connection has written a part of the answer.
	 * @param bytes its length
	 */
	void written(int bytes) {
		if (this.handle != null) {
			this.handle.credit(bytes);
		}
	}

	void setHandle(CallHandle opened) {
		if (!isCurrent()) {
			return;
		}
		if (opened == null) {
			failed(CallFailure.notSent(FailureReason.LINK_DOWN, 0, TargetLoad.UNKNOWN));
			return;
		}
		this.handle = opened;
		pump();
		if (this.startRequestedEarly && isCurrent()) {
			startRequested();
		}
	}

	void pump() {
		if (this.handle == null || this.lastSent || !this.exchange.request().hasBody()) {
			return;
		}
		RequestBody body = this.exchange.body();
		while (this.nextPart < body.keptParts().size()) {
			byte[] part = body.keptParts().get(this.nextPart++);
			sendPart(part, this.nextPart == body.keptParts().size());
		}
		while (this.bodyCreditBytes > 0 && !body.unsentParts().isEmpty()) {
			sendPart(body.unsentParts().poll(), true);
		}
		if (!this.lastSent && body.isComplete() && body.unsentParts().isEmpty()) {
			this.lastSent = true;
			this.handle.data(new byte[0], true);
		}
		this.exchange.resumeReading();
	}

	private void sendPart(byte[] part, boolean newest) {
		RequestBody body = this.exchange.body();
		this.lastSent = newest && body.isComplete() && body.unsentParts().isEmpty();
		this.bodyCreditBytes -= part.length;
		this.handle.data(part, this.lastSent);
	}

	/**
	 * Tells whether this attempt cannot have run: the home asks before it starts a
	 * request that must not run twice.
	 * @return true when permission to start was not given
	 */
	boolean hasDefinitelyNotRun() {
		return !this.exchange.route().idempotent() && !this.permitted;
	}

	@Override
	public void startRequested() {
		if (isCurrent() && this.handle != null) {
			this.permitted = true;
			this.handle.start();
			return;
		}
		this.startRequestedEarly = isCurrent();
	}

	@Override
	public void replied(ReplyHead head) {
		if (!isCurrent()) {
			return;
		}
		if (head.isServerError() && this.exchange.route().idempotent() && this.exchange.retryAfterServerError(this)) {
			return;
		}
		this.reply = head;
		this.exchange.answerStarted(this, head);
	}

	@Override
	public void data(byte[] content, boolean last) {
		if (!isCurrent()) {
			return;
		}
		if (this.exchange.isAnswered()) {
			forward(content);
		}
		else {
			this.heldParts.add(content);
			this.heldBytes += content.length;
			if (last || this.heldBytes >= WINDOW_BYTES) {
				forwardHeld(last);
			}
		}
		if (last) {
			complete();
		}
	}

	private void forwardHeld(boolean whole) {
		DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(this.reply.status()));
		Headers.add(this.reply.headers(), response.headers());
		setFraming(response, whole);
		this.exchange.emit(response, 0);
		this.heldParts.forEach(this::forward);
		this.heldParts.clear();
	}

	private void setFraming(HttpResponse response, boolean whole) {
		if (HttpResponseStatus.NO_CONTENT.code() == this.reply.status()
				|| HttpResponseStatus.NOT_MODIFIED.code() == this.reply.status()) {
			return;
		}
		boolean head = "HEAD".equals(this.exchange.request().method());
		long length = (whole && !head) ? this.heldBytes : this.reply.bodyLength();
		if (length >= 0) {
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
			return;
		}
		if (!head) {
			response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
	}

	private void forward(byte[] content) {
		if (content.length > 0) {
			this.exchange.emit(new DefaultHttpContent(Unpooled.wrappedBuffer(content)), content.length);
		}
	}

	private void complete() {
		this.exchange.emit(LastHttpContent.EMPTY_LAST_CONTENT, 0);
		this.exchange.completed(this);
	}

	@Override
	public void credit(int bytes) {
		this.bodyCreditBytes += bytes;
		if (isCurrent()) {
			pump();
		}
	}

	@Override
	public void failed(CallFailure failure) {
		if (!isCurrent()) {
			return;
		}
		boolean lost = failure.reason() == FailureReason.LINK_LOST;
		this.exchange.attemptFailed(this, (lost && hasDefinitelyNotRun())
				? CallFailure.notSent(FailureReason.LINK_LOST, 0, TargetLoad.UNKNOWN) : failure);
	}

	private boolean isCurrent() {
		return this.exchange.isCurrent(this);
	}

}
