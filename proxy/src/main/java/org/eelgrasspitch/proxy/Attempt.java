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
 * One attempt of a request at one target. Events that arrive after the exchange has ended
 * or has replaced this attempt are ignored.
 */
final class Attempt implements CallListener {

	private final Exchange exchange;

	private final EntryService entry;

	private final TargetEntry target;

	private final long sentAtMillis;

	/**
	 * Parts of the response body that are buffered until it is complete or has
	 * {@link #WINDOW_BYTES}.
	 */
	private final List<byte[]> bufferedParts = new ArrayList<>();

	private int bufferedBytes;

	/** The call at the home; null until it is opened. */
	private CallHandle handle;

	/** The response head; null before it arrives. */
	private ReplyHead reply;

	/** Flow-control credit for the request's body; may fall below 0. */
	private int bodyCreditBytes = WINDOW_BYTES;

	/** Index of the first kept part of the body that was not sent. */
	private int nextPart;

	/** Whether the home was permitted to start the request. */
	private boolean permitted;

	/** Whether the home asked for permission to start before the handle was set. */
	private boolean startRequestedEarly;

	/** Whether the end of the request's body was sent. */
	private boolean bodyEndSent;

	Attempt(Exchange exchange, EntryService entry, TargetEntry target, long sentAtMillis) {
		this.exchange = exchange;
		this.entry = entry;
		this.target = target;
		this.sentAtMillis = sentAtMillis;
	}

	TargetEntry target() {
		return this.target;
	}

	long sentAtMillis() {
		return this.sentAtMillis;
	}

	/**
	 * Returns the response head.
	 * @return the head, or null before it arrives
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
	 * Gives this attempt up, because another one received the response that is used. If
	 * it runs already, the target finishes it.
	 */
	void supersede() {
		if (this.handle != null) {
			this.handle.supersede();
		}
	}

	/**
	 * Grants the home credit for body bytes that the connection has written.
	 * @param bytes number of body bytes
	 */
	void written(int bytes) {
		if (this.handle != null) {
			this.handle.credit(bytes);
		}
	}

	/**
	 * Sets the call at the home and sends what has arrived of the body.
	 * @param opened the call, or null if the link is down, which fails the attempt
	 */
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

	/**
	 * Sends as much of the request's body as has arrived and credit permits. Parts that
	 * are kept for retries fit into the initial credit.
	 */
	void pump() {
		if (this.handle == null || this.bodyEndSent || !this.exchange.request().hasBody()) {
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
		if (!this.bodyEndSent && body.isComplete() && body.unsentParts().isEmpty()) {
			this.bodyEndSent = true;
			this.handle.data(new byte[0], true);
		}
		this.exchange.caller().updateReading();
	}

	private void sendPart(byte[] part, boolean newest) {
		RequestBody body = this.exchange.body();
		this.bodyEndSent = newest && body.isComplete() && body.unsentParts().isEmpty();
		this.bodyCreditBytes -= part.length;
		this.handle.data(part, this.bodyEndSent);
	}

	/**
	 * Returns whether the request has certainly not run in this attempt. The home asks
	 * for permission before it starts a request that is not idempotent.
	 * @return true if the request is not idempotent and permission was not given; false
	 * if it may have run
	 */
	boolean hasDefinitelyNotRun() {
		return !this.exchange.route().idempotent() && !this.permitted;
	}

	@Override
	public boolean isAwaited() {
		return this.exchange.caller().isCallerPresent();
	}

	@Override
	public void startRequested() {
		this.exchange.caller().runForCaller(this::permitStart);
	}

	private void permitStart() {
		if (!isCurrent() || this.handle == null) {
			this.startRequestedEarly = isCurrent();
			return;
		}
		// It may have waited at the home since before this node began to stop.
		if (this.entry.isOutlasted(this.target.id(), this.exchange.route().name())) {
			this.handle.cancel();
			this.exchange.attemptFailed(this, CallFailure.notSent(FailureReason.OVERLOADED, 0, TargetLoad.UNKNOWN));
			return;
		}
		this.permitted = true;
		this.handle.start();
	}

	@Override
	public void replied(ReplyHead head) {
		if (!isCurrent()) {
			return;
		}
		if (head.isServerError() && this.exchange.route().idempotent() && this.exchange.replaceServerError(this)) {
			return;
		}
		this.reply = head;
		this.exchange.responseHeadReceived(this, head);
	}

	@Override
	public void data(byte[] content, boolean last) {
		if (!isCurrent()) {
			return;
		}
		if (this.exchange.isResponseStarted()) {
			forward(content);
		}
		else {
			this.bufferedParts.add(content);
			this.bufferedBytes += content.length;
			if (last || this.bufferedBytes >= WINDOW_BYTES) {
				forwardBuffered(last);
			}
		}
		if (last) {
			complete();
		}
	}

	private void forwardBuffered(boolean whole) {
		DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(this.reply.status()));
		Headers.add(this.reply.headers(), response.headers());
		setFraming(response, whole);
		this.exchange.emit(response, 0);
		this.bufferedParts.forEach(this::forward);
		this.bufferedParts.clear();
	}

	private void setFraming(HttpResponse response, boolean whole) {
		if (HttpResponseStatus.NO_CONTENT.code() == this.reply.status()
				|| HttpResponseStatus.NOT_MODIFIED.code() == this.reply.status()) {
			return;
		}
		boolean head = "HEAD".equals(this.exchange.request().method());
		long length = (whole && !head) ? this.bufferedBytes : this.reply.bodyLength();
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
