package org.eelgrasspitch.proxy;

import java.nio.ByteBuffer;

import io.netty.channel.ChannelFuture;
import org.eelgrasspitch.proxy.generated.LinkCancel;
import org.eelgrasspitch.proxy.generated.LinkCredit;
import org.eelgrasspitch.proxy.generated.LinkData;
import org.eelgrasspitch.proxy.generated.LinkMessage;
import org.eelgrasspitch.proxy.generated.LinkStart;

/**
 * A call that this node, as its entry node, has placed on another node.
 *
 * @param link the link that carries it
 * @param stream number of its stream on the link
 * @param listener receives the response
 * @param written completed when the head of the call is written to the link
 */
record OutgoingCall(Link link, long stream, CallListener listener, ChannelFuture written) implements CallHandle {

	/**
	 * Returns whether nothing of the call has left this node.
	 * @return false once the link has been flushed
	 */
	boolean isUnsent() {
		return !this.written.isDone() && this.written.isCancellable();
	}

	@Override
	public void data(byte[] content, boolean last) {
		this.link.send(LinkMessage.data(new LinkData(this.stream, true, ByteBuffer.wrap(content), last)));
	}

	@Override
	public void start() {
		this.link.send(LinkMessage.start(new LinkStart(this.stream)));
	}

	@Override
	public void credit(int bytes) {
		this.link.send(LinkMessage.credit(new LinkCredit(this.stream, false, bytes)));
	}

	@Override
	public void cancel() {
		sendCancel(true);
	}

	@Override
	public void supersede() {
		sendCancel(false);
	}

	private void sendCancel(boolean endsRunning) {
		this.link.removeOutgoing(this.stream);
		// The home ignores what follows a call that was withdrawn.
		if (this.written.cancel(false)) {
			return;
		}
		this.link.send(LinkMessage.cancel(new LinkCancel(this.stream, endsRunning)));
	}

}
