package org.eelgrasspitch.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.apache.thrift.TException;
import org.eelgrasspitch.mesh.TargetLoad;
import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.proxy.generated.LinkBeat;
import org.eelgrasspitch.proxy.generated.LinkCall;
import org.eelgrasspitch.proxy.generated.LinkCancel;
import org.eelgrasspitch.proxy.generated.LinkCredit;
import org.eelgrasspitch.proxy.generated.LinkData;
import org.eelgrasspitch.proxy.generated.LinkHello;
import org.eelgrasspitch.proxy.generated.LinkMessage;

/**
 * One link to a peer. It carries calls in both directions, heartbeats and documents.
 * <p>
 * Each side sends a heartbeat every {@link Links#BEAT_MILLIS}; a link on which nothing
 * has arrived for {@link Links#SILENCE_MILLIS} is closed, which is how a peer that
 * vanished, or a connection that went silent, is found. Calls in progress on a link that
 * is lost end at both sides: the entry reports that they may have run, and the home drops
 * what still waits.
 */
final class Link extends SimpleChannelInboundHandler<ByteBuf> {

	private final Links links;

	/** Whether this side dialled. */
	private final boolean outbound;

	private final Map<Long, RemoteCall> calls = new HashMap<>();

	private final Map<Long, IncomingCall> incoming = new HashMap<>();

	private Channel channel;

	/** Where the peer listens; null until it introduced itself. */
	private InetSocketAddress peer;

	private String peerVm = "";

	/** Whether the peer is in this node's failure domain; true until it said. */
	private boolean near = true;

	private TargetLoad load = TargetLoad.UNKNOWN;

	/** Calls sent after the peer's last word on its load. */
	private int sentSince;

	private long lastHeardAt;

	private long nextStream = 1;

	private boolean flushing;

	/** Why the link is being closed by this side; null while it is not. */
	private String closing;

	Link(Links links, boolean outbound) {
		this.links = links;
		this.outbound = outbound;
	}

	InetSocketAddress peer() {
		return this.peer;
	}

	TargetLoad load() {
		return this.load;
	}

	int sentSince() {
		return this.sentSince;
	}

	long lastHeardAt() {
		return this.lastHeardAt;
	}

	boolean isNear() {
		return this.near;
	}

	boolean isOpen() {
		return this.peer != null && this.channel.isActive();
	}

	/**
	 * Places a call on the peer.
	 * @param head the call
	 * @param sink receives the answer
	 * @return where the rest of the call goes
	 */
	CallFlow open(CallHead head, CallSink sink) {
		RemoteCall call = new RemoteCall(this, this.nextStream++, sink);
		this.calls.put(call.stream(), call);
		this.sentSince++;
		send(LinkMessage.call(LinkFrames.wire(call.stream(), head, this.links.fabric().now())));
		return call;
	}

	/**
	 * Sends a message. Messages of one turn of the event loop leave together.
	 * @param message the message
	 */
	void send(LinkMessage message) {
		byte[] frame = LinkFrames.encode(message);
		this.links.fabric().metrics().sent(message.getSetField(), this.near, frame.length + Links.LENGTH_BYTES);
		this.channel.write(Unpooled.wrappedBuffer(frame));
		if (!this.flushing) {
			this.flushing = true;
			this.channel.eventLoop().execute(() -> {
				this.flushing = false;
				this.channel.flush();
			});
		}
	}

	void forget(long stream) {
		this.calls.remove(stream);
	}

	void ended(long stream) {
		this.incoming.remove(stream);
	}

	void close(String reason) {
		this.closing = reason;
		this.channel.close();
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.lastHeardAt = this.links.fabric().now();
		this.links.connected(this);
		ProxySettings settings = this.links.fabric().settings();
		send(LinkMessage.hello(new LinkHello(settings.vm(), settings.failureDomain(),
				Addresses.format(settings.linkAddress()), this.links.incarnation())));
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws TException {
		this.lastHeardAt = this.links.fabric().now();
		LinkMessage message = LinkFrames.decode(ByteBufUtil.getBytes(frame));
		if (this.peer == null && !message.isSetHello()) {
			throw new TException("no introduction");
		}
		handle(message);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		List<RemoteCall> lost = new ArrayList<>(this.calls.values());
		this.calls.clear();
		List<IncomingCall> dropped = new ArrayList<>(this.incoming.values());
		this.incoming.clear();
		this.links.closed(this, this.peerVm, (this.closing != null) ? this.closing : "closed by the peer", lost.size(),
				dropped.size());
		lost.forEach((call) -> call.sink()
			.failed(new CallFailure(FailureReason.LINK_LOST, true, true, 0, TargetLoad.UNKNOWN)));
		dropped.forEach((call) -> call.flow().cancel());
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		close(cause.toString());
	}

	private void handle(LinkMessage message) throws TException {
		switch (message.getSetField()) {
			case HELLO -> introduced(message.getHello());
			case BEAT -> beat(message.getBeat());
			case CALL -> called(message.getCall());
			case DATA -> data(message.getData());
			case CREDIT -> credited(message.getCredit());
			case START_ASKED -> startAsked(message.getStartAsked().getStream());
			case DEATH ->
				this.links.died(Digest.of(message.getDeath().getFingerprint(), 0), message.getDeath().getTarget());
			case START -> started(message.getStart().getStream());
			case CANCEL -> cancelled(message.getCancel());
			case REPLY -> replied(message.getReply().getStream(), LinkFrames.reply(message.getReply()));
			case FAILURE -> failed(message.getFailure().getStream(), LinkFrames.failure(message.getFailure()));
			case PULL -> this.links.pulled(this, LinkFrames.channel(message.getPull().getDocument()),
					message.getPull().getSince());
			case DOCUMENT -> this.links.document(LinkFrames.channel(message.getDocument().getDocument()),
					LinkFrames.delta(message.getDocument()), this.peerVm);
		}
	}

	private void introduced(LinkHello hello) throws TException {
		this.peer = Addresses.parse(hello.getAddress())
			.orElseThrow(() -> new TException("hello with address " + hello.getAddress()));
		this.peerVm = hello.getVm();
		this.near = hello.getFailureDomain().equals(this.links.fabric().settings().failureDomain());
		this.links.opened(this, this.peerVm, this.outbound);
	}

	private void beat(LinkBeat beat) {
		heard(LinkFrames.load(beat.getLoad()));
		this.links.revisions(this, beat.getChanges());
	}

	private void heard(TargetLoad said) {
		this.load = said;
		this.sentSince = 0;
	}

	private void called(LinkCall call) {
		IncomingCall accepted = new IncomingCall(this, call.getStream());
		CallHead head = LinkFrames.head(call, this.links.fabric().now());
		CallFlow flow = this.links.home().accept(head, this.peerVm, accepted);
		accepted.use(flow);
		if (!accepted.isEnded()) {
			this.incoming.put(call.getStream(), accepted);
		}
	}

	private void data(LinkData data) {
		if (data.isFromOpener()) {
			IncomingCall call = this.incoming.get(data.getStream());
			if (call != null) {
				call.flow().data(data.getContent(), data.isLast());
			}
			return;
		}
		RemoteCall call = data.isLast() ? this.calls.remove(data.getStream()) : this.calls.get(data.getStream());
		if (call != null) {
			call.sink().data(data.getContent(), data.isLast());
		}
	}

	private void credited(LinkCredit credit) {
		if (credit.isToOpener()) {
			RemoteCall call = this.calls.get(credit.getStream());
			if (call != null) {
				call.sink().credit(credit.getBytes());
			}
			return;
		}
		IncomingCall call = this.incoming.get(credit.getStream());
		if (call != null) {
			call.flow().credit(credit.getBytes());
		}
	}

	private void startAsked(long stream) {
		RemoteCall call = this.calls.get(stream);
		if (call != null) {
			call.sink().startAsked();
		}
	}

	private void started(long stream) {
		IncomingCall call = this.incoming.get(stream);
		if (call != null) {
			call.flow().start();
		}
	}

	private void cancelled(LinkCancel cancel) {
		IncomingCall call = this.incoming.remove(cancel.getStream());
		if (call == null) {
			return;
		}
		if (cancel.isEndsRunning()) {
			call.flow().cancel();
			return;
		}
		call.flow().supersede();
	}

	private void replied(long stream, ReplyHead reply) {
		heard(reply.load());
		RemoteCall call = this.calls.get(stream);
		if (call != null) {
			call.sink().replied(reply);
		}
	}

	private void failed(long stream, CallFailure failure) {
		heard(failure.load());
		RemoteCall call = this.calls.remove(stream);
		if (call != null) {
			call.sink().failed(failure);
		}
	}

}
