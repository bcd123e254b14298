package org.eelgrasspitch.proxy;

import java.nio.ByteBuffer;

import org.eelgrasspitch.proxy.generated.LinkCredit;
import org.eelgrasspitch.proxy.generated.LinkData;
import org.eelgrasspitch.proxy.generated.LinkMessage;
import org.eelgrasspitch.proxy.generated.LinkStartAsked;

/**
 * A call that another node has placed on this one. It sends the home's response over the
 * link.
 */
final class IncomingCall implements CallListener {

	private final Link link;

	private final long stream;

	/** Handle for the rest of the call; null until the home has returned it. */
	private CallHandle handle;

	private boolean ended;

	IncomingCall(Link link, long stream) {
		this.link = link;
		this.stream = stream;
	}

	void setHandle(CallHandle newHandle) {
		this.handle = newHandle;
	}

	CallHandle handle() {
		return this.handle;
	}

	boolean isEnded() {
		return this.ended;
	}

	@Override
	public void startRequested() {
		this.link.send(LinkMessage.startAsked(new LinkStartAsked(this.stream)));
	}

	@Override
	public boolean isAwaited() {
		return this.link.readPending();
	}

	@Override
	public void replied(ReplyHead head) {
		this.link.send(LinkMessage.reply(LinkFrames.toWire(this.stream, head)));
	}

	@Override
	public void data(byte[] content, boolean last) {
		this.link.send(LinkMessage.data(new LinkData(this.stream, false, ByteBuffer.wrap(content), last)));
		if (last) {
			end();
		}
	}

	@Override
	public void credit(int bytes) {
		this.link.send(LinkMessage.credit(new LinkCredit(this.stream, true, bytes)));
	}

	@Override
	public void failed(CallFailure failure) {
		this.link.send(LinkMessage.failure(LinkFrames.toWire(this.stream, known(failure))));
		end();
	}

	/**
	 * Replaces a reason that a peer of an earlier build does not know, because it would
	 * close the link.
	 */
	private CallFailure known(CallFailure failure) {
		return (failure.reason() == FailureReason.QUARANTINED && !this.link.acceptsSurvivals())
				? CallFailure.notSent(FailureReason.TARGET_REFUSED, failure.retryAfterMillis(), failure.load())
				: failure;
	}

	private void end() {
		this.ended = true;
		this.link.removeIncoming(this.stream);
	}

}
