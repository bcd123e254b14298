package org.eelgrasspitch.proxy;

import java.nio.ByteBuffer;

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
 */
record OutgoingCall(Link link, long stream, CallListener listener) implements CallHandle {

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
		this.link.send(LinkMessage.cancel(new LinkCancel(this.stream, endsRunning)));
	}

}
