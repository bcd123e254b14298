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
 * Connection to a peer node. It carries calls in both directions, heartbeats and
 * published documents.
 * <p>
 * Each side sends a heartbeat every {@link LinkManager#HEARTBEAT_INTERVAL_MILLIS}. A link
 * on which nothing has been received for {@link LinkManager#LINK_TIMEOUT_MILLIS} is
 * closed; this detects crashed peers and half-open connections. When a link is lost, its
 * calls end on both sides. The entry node treats them as calls that may have run, except
 * non-idempotent ones whose start it has not permitted; the home cancels them, which
 * drops those still waiting and aborts running ones that are idempotent.
 */
final class Link extends SimpleChannelInboundHandler<ByteBuf> {

	private final LinkManager links;

	/** Whether this node opened the connection. */
	private final boolean outbound;

	private final Map<Long, OutgoingCall> outgoingCalls = new HashMap<>();

	private final Map<Long, IncomingCall> incomingCalls = new HashMap<>();

	private Channel channel;

	/** Address on which the peer listens; null until its hello is received. */
	private InetSocketAddress peer;

	private String peerVm = "";

	/** Whether the peer is in this node's failure domain; true until its hello. */
	private boolean near = true;

	private TargetLoad load = TargetLoad.UNKNOWN;

	/** Number of calls sent since the peer last reported its load. */
	private int sentSinceReport;

	private long lastReceivedAtMillis;

	private long nextStream = 1;

	private boolean flushScheduled;

	/** Reason why this node closed the link; null while it has not. */
	private String closeReason;

	Link(LinkManager links, boolean outbound) {
		this.links = links;
		this.outbound = outbound;
	}

	InetSocketAddress peer() {
		return this.peer;
	}

	TargetLoad load() {
		return this.load;
	}

	int sentSinceReport() {
		return this.sentSinceReport;
	}

	long lastReceivedAtMillis() {
		return this.lastReceivedAtMillis;
	}

	boolean isNear() {
		return this.near;
	}

	boolean isOpen() {
		return this.peer != null && this.channel.isActive();
	}

	/**
	 * Sends a call to the peer.
	 * @param head the request without its body
	 * @param listener receives the response or the failure
	 * @return handle for the body and later control messages
	 */
	CallHandle open(CallHead head, CallListener listener) {
		OutgoingCall call = new OutgoingCall(this, this.nextStream++, listener);
		this.outgoingCalls.put(call.stream(), call);
		this.sentSinceReport++;
		send(LinkMessage.call(LinkFrames.toWire(call.stream(), head, this.links.context().now())));
		return call;
	}

	/**
	 * Queues a message. Messages queued in one iteration of the event loop are flushed
	 * together.
	 * @param message the message
	 */
	void send(LinkMessage message) {
		byte[] frame = LinkFrames.encode(message);
		this.links.context()
			.metrics()
			.sent(message.getSetField(), this.near, frame.length + LinkManager.LENGTH_PREFIX_BYTES);
		this.channel.write(Unpooled.wrappedBuffer(frame));
		if (!this.flushScheduled) {
			this.flushScheduled = true;
			this.channel.eventLoop().execute(() -> {
				this.flushScheduled = false;
				this.channel.flush();
			});
		}
	}

	void removeOutgoing(long stream) {
		this.outgoingCalls.remove(stream);
	}

	void removeIncoming(long stream) {
		this.incomingCalls.remove(stream);
	}

	void close(String reason) {
		this.closeReason = reason;
		this.channel.close();
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.lastReceivedAtMillis = this.links.context().now();
		this.links.connectionOpened(this);
		ProxySettings settings = this.links.context().settings();
		send(LinkMessage.hello(new LinkHello(settings.vm(), settings.failureDomain(),
				Addresses.format(settings.linkAddress()), this.links.incarnation())));
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws TException {
		this.lastReceivedAtMillis = this.links.context().now();
		LinkMessage message = LinkFrames.decode(ByteBufUtil.getBytes(frame));
		if (this.peer == null && !message.isSetHello()) {
			throw new TException("first message on the link is not a hello");
		}
		handle(message);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		List<OutgoingCall> lost = new ArrayList<>(this.outgoingCalls.values());
		this.outgoingCalls.clear();
		List<IncomingCall> dropped = new ArrayList<>(this.incomingCalls.values());
		this.incomingCalls.clear();
		this.links.connectionClosed(this, this.peerVm,
				(this.closeReason != null) ? this.closeReason : "closed by the peer", lost.size(), dropped.size());
		lost.forEach((call) -> call.listener()
			.failed(new CallFailure(FailureReason.LINK_LOST, true, true, 0, TargetLoad.UNKNOWN)));
		dropped.forEach((call) -> call.handle().cancel());
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		close(cause.toString());
	}

	private void handle(LinkMessage message) throws TException {
		switch (message.getSetField()) {
			case HELLO -> handleHello(message.getHello());
			case BEAT -> handleHeartbeat(message.getBeat());
			case CALL -> handleCall(message.getCall());
			case DATA -> handleData(message.getData());
			case CREDIT -> handleCredit(message.getCredit());
			case START_ASKED -> handleStartAsked(message.getStartAsked().getStream());
			case DEATH -> this.links.recordCrash(Digest.fromBytes(message.getDeath().getFingerprint(), 0),
					message.getDeath().getTarget());
			case START -> handleStart(message.getStart().getStream());
			case CANCEL -> handleCancel(message.getCancel());
			case REPLY -> handleReply(message.getReply().getStream(), LinkFrames.fromWire(message.getReply()));
			case FAILURE -> handleFailure(message.getFailure().getStream(), LinkFrames.fromWire(message.getFailure()));
			case PULL -> this.links.handlePull(this, LinkFrames.channelFromWire(message.getPull().getDocument()),
					message.getPull().getSince());
			case DOCUMENT -> this.links.handleDocument(LinkFrames.channelFromWire(message.getDocument().getDocument()),
					LinkFrames.fromWire(message.getDocument()), this.peerVm);
		}
	}

	private void handleHello(LinkHello hello) throws TException {
		this.peer = Addresses.parse(hello.getAddress())
			.orElseThrow(() -> new TException("invalid address in hello: " + hello.getAddress()));
		this.peerVm = hello.getVm();
		this.near = hello.getFailureDomain().equals(this.links.context().settings().failureDomain());
		this.links.helloReceived(this, this.peerVm, this.outbound);
	}

	private void handleHeartbeat(LinkBeat beat) {
		updateLoad(LinkFrames.fromWire(beat.getLoad()));
		this.links.handlePeerRevisions(this, beat.getChanges());
	}

	private void updateLoad(TargetLoad reportedLoad) {
		this.load = reportedLoad;
		this.sentSinceReport = 0;
	}

	private void handleCall(LinkCall call) {
		IncomingCall incoming = new IncomingCall(this, call.getStream());
		CallHead head = LinkFrames.fromWire(call, this.links.context().now());
		CallHandle handle = this.links.home().submit(head, this.peerVm, incoming);
		incoming.setHandle(handle);
		if (!incoming.isEnded()) {
			this.incomingCalls.put(call.getStream(), incoming);
		}
	}

	private void handleData(LinkData data) {
		if (data.isFromOpener()) {
			IncomingCall call = this.incomingCalls.get(data.getStream());
			if (call != null) {
				call.handle().data(data.getContent(), data.isLast());
			}
			return;
		}
		OutgoingCall call = data.isLast() ? this.outgoingCalls.remove(data.getStream())
				: this.outgoingCalls.get(data.getStream());
		if (call != null) {
			call.listener().data(data.getContent(), data.isLast());
		}
	}

	private void handleCredit(LinkCredit credit) {
		if (credit.isToOpener()) {
			OutgoingCall call = this.outgoingCalls.get(credit.getStream());
			if (call != null) {
				call.listener().credit(credit.getBytes());
			}
			return;
		}
		IncomingCall call = this.incomingCalls.get(credit.getStream());
		if (call != null) {
			call.handle().credit(credit.getBytes());
		}
	}

	private void handleStartAsked(long stream) {
		OutgoingCall call = this.outgoingCalls.get(stream);
		if (call != null) {
			call.listener().startRequested();
		}
	}

	private void handleStart(long stream) {
		IncomingCall call = this.incomingCalls.get(stream);
		if (call != null) {
			call.handle().start();
		}
	}

	private void handleCancel(LinkCancel cancel) {
		IncomingCall call = this.incomingCalls.remove(cancel.getStream());
		if (call == null) {
			return;
		}
		if (cancel.isEndsRunning()) {
			call.handle().cancel();
			return;
		}
		call.handle().supersede();
	}

	private void handleReply(long stream, ReplyHead reply) {
		updateLoad(reply.load());
		OutgoingCall call = this.outgoingCalls.get(stream);
		if (call != null) {
			call.listener().replied(reply);
		}
	}

	private void handleFailure(long stream, CallFailure failure) {
		updateLoad(failure.load());
		OutgoingCall call = this.outgoingCalls.remove(stream);
		if (call != null) {
			call.listener().failed(failure);
		}
	}

}
