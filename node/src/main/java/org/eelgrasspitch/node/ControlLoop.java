package org.eelgrasspitch.node;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.eelgrasspitch.fleet.EventKind;
import org.eelgrasspitch.fleet.FleetEffect;
import org.eelgrasspitch.fleet.FleetEvent;
import org.eelgrasspitch.fleet.FleetMember;
import org.eelgrasspitch.fleet.FleetView;
import org.eelgrasspitch.misc.EnumNames;
import org.eelgrasspitch.misc.TimeSource;
import org.eelgrasspitch.node.EventLog.Field;
import org.eelgrasspitch.wire.Frame;
import org.eelgrasspitch.wire.PeerConnection;
import org.eelgrasspitch.wire.PeerTransport;
import org.eelgrasspitch.wire.Purpose;

/**
 * The single thread that owns the control state. It takes events from a bounded mailbox,
 * passes them to the {@link FleetMember} and executes the resulting effects. Request
 * threads see the results only through {@link NodeState}.
 * <p>
 * An event that arrives while the mailbox is full is dropped and logged. Peers send their
 * status again with each heartbeat, an unanswered pull times out, and a link whose close
 * was lost is dropped by the silence timeout. A lost result of a platform call is not
 * repeated: no further call for the document is made until a pause or a role change. A
 * lost {@link FleetEvent.LeaveRequested}, {@link FleetEvent.LinkOpened} or
 * {@link FleetEvent.LinkFailed} is not repeated either.
 */
final class ControlLoop implements AutoCloseable {

	private static final int MAILBOX_CAPACITY = 20_000;

	private static final long JOIN_TIMEOUT_MILLIS = 2_000;

	private final BlockingQueue<Message> mailbox = new LinkedBlockingQueue<>(MAILBOX_CAPACITY);

	/** Open connections for documents, by id. */
	private final Map<Long, PeerConnection> connections = new ConcurrentHashMap<>();

	private final FleetMember member;

	private final NodeContext context;

	private final TimeSource time;

	private final long tickMillis;

	private final Thread thread;

	/** Opens connections; set by {@link #start}. */
	private PeerTransport transport;

	/** Calls the platform; set by {@link #start}. */
	private PlatformClient platform;

	private volatile boolean stopping;

	ControlLoop(FleetMember member, NodeContext context, long tickMillis) {
		this.member = member;
		this.context = context;
		this.time = context.time();
		this.tickMillis = tickMillis;
		this.thread = new Thread(this::run, "control");
	}

	void start(PeerTransport startedTransport, PlatformClient startedPlatform) {
		this.transport = startedTransport;
		this.platform = startedPlatform;
		this.thread.start();
	}

	/**
	 * Posts an event to the mailbox. The event is dropped if the mailbox is full.
	 * @param event the event
	 */
	void post(FleetEvent event) {
		if (!this.mailbox.offer(new Message.EventMessage(event))) {
			this.context.log().warn("mailbox_full");
		}
	}

	/**
	 * Requests a consistent view of the member.
	 * @return completed on the control thread, or exceptionally if the mailbox is full
	 */
	CompletableFuture<FleetView> view() {
		CompletableFuture<FleetView> result = new CompletableFuture<>();
		if (!this.mailbox.offer(new Message.ViewRequest(result))) {
			result.completeExceptionally(new IllegalStateException("control mailbox is full"));
		}
		return result;
	}

	/**
	 * Registers a connection that another node opened.
	 * @param connection the connection
	 */
	void accepted(PeerConnection connection) {
		opened(connection, null);
	}

	private void opened(PeerConnection connection, InetSocketAddress dialledAddress) {
		this.connections.put(connection.id(), connection);
		post(new FleetEvent.LinkOpened(connection.id(), connection.peer(), dialledAddress != null, dialledAddress));
	}

	void closed(PeerConnection connection) {
		this.connections.remove(connection.id());
		post(new FleetEvent.LinkClosed(connection.id()));
	}

	@Override
	public void close() {
		this.stopping = true;
		this.thread.interrupt();
		try {
			this.thread.join(JOIN_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void run() {
		long nextTick = this.time.monotonicMillis();
		while (!this.stopping) {
			try {
				long wait = Math.max(0, nextTick - this.time.monotonicMillis());
				Message message = this.mailbox.poll(wait, TimeUnit.MILLISECONDS);
				if (message != null) {
					handle(message);
				}
				long now = this.time.monotonicMillis();
				if (now >= nextTick) {
					nextTick = now + this.tickMillis;
					handle(new Message.EventMessage(new FleetEvent.Ticked()));
				}
			}
			catch (InterruptedException ex) {
				return;
			}
			catch (RuntimeException ex) {
				this.context.haltProcess("control", ex);
			}
		}
	}

	private void handle(Message message) {
		switch (message) {
			case Message.EventMessage eventMessage -> {
				long now = this.time.monotonicMillis();
				this.member.handle(eventMessage.event(), now).forEach(this::execute);
				this.context.state().recordActivity(now);
			}
			case Message.ViewRequest viewRequest ->
				viewRequest.result().complete(this.member.view(this.time.monotonicMillis()));
		}
	}

	private void execute(FleetEffect effect) {
		switch (effect) {
			case FleetEffect.OpenLink open -> open(open);
			case FleetEffect.CloseLink close -> close(close);
			case FleetEffect.Send send -> send(send);
			case FleetEffect.CallPlatform call -> this.platform.call(call);
			case FleetEffect.PublishText publish -> {
				this.context.state().publish(publish.snapshot());
				this.context.metrics().setTextRevision(publish.snapshot().version().revision());
			}
			case FleetEffect.PublishVms publish -> this.context.state().publish(publish.vms());
			case FleetEffect.LifecycleChanged changed -> {
				this.context.metrics().setLifecycleState(changed.state().ordinal());
				this.context.log().info("life_changed", Field.of("state", changed.state()));
				this.context.state().setLifecycle(changed.state());
			}
			case FleetEffect.LogEvent logEvent -> log(logEvent);
		}
	}

	private void open(FleetEffect.OpenLink open) {
		this.transport.dial(open.address(), this.context.settings().sourceAddress().orElse(null), Purpose.FLEET,
				(connection) -> opened(connection, open.address()),
				() -> post(new FleetEvent.LinkFailed(open.address())));
	}

	private void close(FleetEffect.CloseLink close) {
		PeerConnection connection = this.connections.get(close.link());
		if (connection != null) {
			connection.close();
		}
	}

	private void send(FleetEffect.Send send) {
		PeerConnection connection = this.connections.get(send.link());
		if (connection != null) {
			connection.send(new Frame.Fleet(send.message()));
		}
	}

	private void log(FleetEffect.LogEvent logEvent) {
		this.context.metrics().countFleetEvent(logEvent.kind());
		String event = EnumNames.lowerCase(logEvent.kind());
		Field detail = Field.of("detail", logEvent.detail());
		if (logEvent.kind() == EventKind.VERSION_ACCEPTED || logEvent.kind() == EventKind.ROLE_CHANGED) {
			this.context.log().info(event, detail);
		}
		else {
			this.context.log().warn(event, detail);
		}
	}

	/**
	 * An entry of the mailbox.
	 */
	private sealed interface Message {

		/**
		 * An event to pass to the member.
		 *
		 * @param event the event
		 */
		record EventMessage(FleetEvent event) implements Message {

		}

		/**
		 * A request for a view of the member.
		 *
		 * @param result completed with the view
		 */
		record ViewRequest(CompletableFuture<FleetView> result) implements Message {

		}

	}

}
