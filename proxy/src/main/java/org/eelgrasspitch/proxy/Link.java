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
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import org.apache.thrift.TException;
import org.eelgrasspitch.mesh.SourceReaders.Report;
import org.eelgrasspitch.mesh.TargetLoad;
import org.eelgrasspitch.misc.Addresses;
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
 * A link that is silent for too long is closed, see {@link LinkActivity}. When a link is
 * lost, its calls end on both sides. The entry node treats them as calls that may have
 * run, except non-idempotent ones whose start it has not permitted; the home cancels
 * them, which drops those still waiting and aborts running ones that are idempotent.
 */
final class Link extends SimpleChannelInboundHandler<ByteBuf> {

	private final LinkManager links;

	/** Whether this node opened the connection. */
	private final boolean outbound;

	private final SocketInput input;

	private final Map<Long, OutgoingCall> outgoingCalls = new HashMap<>();

	private final Map<Long, IncomingCall> incomingCalls = new HashMap<>();

	private Channel channel;

	/** Address on which the peer listens; null until its hello is received. */
	private InetSocketAddress peer;

	private String peerVm = "";

	private final LinkActivity activity = new LinkActivity();

	/** Capacity of the peer's network link in megabits per second; 0 if unknown. */
	private int peerCapacityMegabits;

	/** Whether the peer accepts documents that it has not requested. */
	private boolean acceptsPushes;

	/** Whether the peer accepts reports that a suspected request was answered. */
	private boolean acceptsSurvivals;

	/** What the peer last reported about the source. */
	private Report peerReport = Report.NONE;

	private TargetLoad load = TargetLoad.UNKNOWN;

	/** Number of calls sent since the peer last reported its load. */
	private int sentSinceReport;

	private long nextStream = 1;

	private boolean flushScheduled;

	/** Reason why this node closed the link; null while it has not. */
	private String closeReason;

	Link(LinkManager links, boolean outbound, SocketInput input) {
		this.links = links;
		this.outbound = outbound;
		this.input = input;
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
		return this.activity.lastReceivedAtMillis();
	}

	boolean isNear() {
		return this.activity.isNear();
	}

	String peerVm() {
		return this.peerVm;
	}

	int peerCapacityMegabits() {
		return this.peerCapacityMegabits;
	}

	boolean acceptsPushes() {
		return this.acceptsPushes;
	}

	boolean acceptsSurvivals() {
		return this.acceptsSurvivals;
	}

	Report peerReport() {
		return this.peerReport;
	}

	/**
	 * Returns whether few enough bytes wait to be sent that a document may be added.
	 * @return false while the connection is congested
	 */
	boolean isWritable() {
		return this.channel.isWritable();
	}

	/**
	 * Returns how many bytes wait to be sent.
	 * @return the number of bytes; 0 if the connection is closed
	 */
	long waitingBytes() {
		return WriteBuffers.waitingBytes(this.channel);
	}

	/**
	 * Returns whether calls may be sent on this link.
	 * @return true if it is open and not silent
	 */
	boolean isUsable() {
		return isOpen() && !this.activity.isSuspect(carriesCalls(), now());
	}

	/**
	 * Returns whether the peer has been silent for so long that the link is lost.
	 * @return true if it must be closed
	 */
	boolean isLost() {
		return this.activity.isLost(carriesCalls(), now());
	}

	boolean isHeartbeatDue() {
		return isOpen() && this.activity.isHeartbeatDue(carriesCalls(), now());
	}

	void sendHeartbeat(EncodedMessage heartbeat) {
		this.activity.heartbeatSent(now());
		send(heartbeat);
	}

	/**
	 * Returns whether the link carries no call and has carried none lately.
	 * @return true if it is idle
	 */
	boolean isIdle() {
		return this.activity.isIdle(carriesCalls(), now());
	}

	private boolean carriesCalls() {
		return !this.outgoingCalls.isEmpty() || !this.incomingCalls.isEmpty();
	}

	long lastCallAtMillis() {
		return this.activity.lastCallAtMillis();
	}

	long openedAtMillis() {
		return this.activity.openedAtMillis();
	}

	boolean isOutbound() {
		return this.outbound;
	}

	private long now() {
		return this.links.context().now();
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
		this.activity.callOpened(carriesCalls(), now());
		long stream = this.nextStream++;
		this.sentSinceReport++;
		ChannelFuture written = send(
				EncodedMessage.of(LinkMessage.call(LinkFrames.toWire(stream, head, this.links.context().now()))));
		OutgoingCall call = new OutgoingCall(this, stream, listener, written);
		this.outgoingCalls.put(stream, call);
		return call;
	}

	/**
	 * Queues a message. Messages queued in one iteration of the event loop are flushed
	 * together.
	 * @param message the message
	 */
	void send(LinkMessage message) {
		send(EncodedMessage.of(message));
	}

	/**
	 * Queues an encoded message, see {@link #send(LinkMessage)}.
	 * @param message the message
	 * @return completed when the message is written; until it is flushed, cancelling it
	 * withdraws the message
	 */
	ChannelFuture send(EncodedMessage message) {
		this.links.context().metrics().sent(message.kind(), isNear(), message.frame().length);
		ChannelFuture written = this.channel.write(Unpooled.wrappedBuffer(message.frame()));
		if (!this.flushScheduled) {
			this.flushScheduled = true;
			this.channel.eventLoop().execute(this::flush);
		}
		return written;
	}

	/**
	 * Sends the queued messages, if there are any. A node that is behind first looks
	 * whether the callers of the calls among them are still there.
	 */
	void flush() {
		if (!this.flushScheduled) {
			return;
		}
		if (this.links.context().watch().isBehind()) {
			List<OutgoingCall> unsent = this.outgoingCalls.values().stream().filter(OutgoingCall::isUnsent).toList();
			// Where it finds that the caller has left, the call is cancelled and
			// withdrawn.
			unsent.forEach((call) -> call.listener().isAwaited());
		}
		this.flushScheduled = false;
		this.channel.flush();
	}

	/**
	 * Reads what has arrived on this link.
	 * @return false if the link has ended
	 */
	boolean readPending() {
		return this.input.readPending();
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

	/**
	 * Ends this side of the link once all messages are sent.
	 */
	void shutDownOutput() {
		this.closeReason = "this node is about to close";
		this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
			.addListener((future) -> ((DuplexChannel) this.channel).shutdownOutput());
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.activity.opened(now());
		this.links.connectionOpened(this);
		ProxySettings settings = this.links.context().settings();
		send(LinkMessage
			.hello(new LinkHello(settings.vm(), settings.failureDomain(), Addresses.format(settings.linkAddress()),
					this.links.incarnation())
				.setCapacity(settings.linkCapacityMegabits())
				.setAcceptsSurvivals(true)));
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws TException {
		this.activity.received(now());
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
			case DEATH -> this.links.quarantine().handleCrashNotice(message.getDeath(), isNear());
			case SURVIVAL -> this.links.quarantine().handleSurvivalNotice(message.getSurvival(), isNear());
			case START -> handleStart(message.getStart().getStream());
			case CANCEL -> handleCancel(message.getCancel());
			case REPLY -> handleReply(message.getReply().getStream(), LinkFrames.fromWire(message.getReply()));
			case FAILURE -> handleFailure(message.getFailure().getStream(), LinkFrames.fromWire(message.getFailure()));
			case PULL -> this.links.replicator().handlePull(this, message.getPull());
			case DOCUMENT -> this.links.replicator().handleDocument(message.getDocument(), this.peerVm);
			case PACKED -> this.links.replicator().handlePacked(message.getPacked(), this.peerVm);
		}
	}

	private void handleHello(LinkHello hello) throws TException {
		this.peer = Addresses.parse(hello.getAddress())
			.orElseThrow(() -> new TException("invalid address in hello: " + hello.getAddress()));
		this.peerVm = hello.getVm();
		this.acceptsPushes = hello.isSetCapacity();
		this.peerCapacityMegabits = hello.getCapacity();
		this.acceptsSurvivals = hello.isAcceptsSurvivals();
		this.activity.setNear(hello.getFailureDomain().equals(this.links.context().settings().failureDomain()));
		this.links.helloReceived(this, this.peerVm, this.outbound);
	}

	private void handleHeartbeat(LinkBeat beat) {
		updateLoad(LinkFrames.fromWire(beat.getLoad()));
		Report report = LinkFrames.enumConstant(Report.values(), beat.getSource());
		if (report != this.peerReport) {
			this.peerReport = report;
			this.links.updateRole();
		}
		this.links.replicator().handleHeartbeat(this, beat);
	}

	private void updateLoad(TargetLoad reportedLoad) {
		this.load = reportedLoad;
		this.sentSinceReport = 0;
	}

	private void handleCall(LinkCall call) {
		this.activity.callOpened(carriesCalls(), now());
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
