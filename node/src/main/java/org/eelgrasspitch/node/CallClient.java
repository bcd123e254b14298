package org.eelgrasspitch.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.wire.Frame;
import org.eelgrasspitch.wire.PeerConnection;
import org.eelgrasspitch.wire.PeerTransport;
import org.eelgrasspitch.wire.Purpose;

/**
 * Sends calls to other nodes over one connection per node and matches replies to calls.
 * <p>
 * Each call has a number that this process uses once. A reply to a number that is not
 * pending is dropped. A call whose connection could not be opened certainly did not leave
 * this process; one whose connection broke later may have arrived.
 */
final class CallClient {

	private final NodeContext context;

	/** Destinations by address. */
	private final Map<InetSocketAddress, Destination> destinations = new ConcurrentHashMap<>();

	/** Destinations by the number of their open connection. */
	private final Map<Long, Destination> byConnection = new ConcurrentHashMap<>();

	private final AtomicLong nextCall = new AtomicLong(1);

	/** The dialling side; set once before the first call. */
	private volatile PeerTransport transport;

	CallClient(NodeContext context) {
		this.context = context;
	}

	void use(PeerTransport started) {
		this.transport = started;
	}

	/**
	 * Sends a call.
	 * @param address the other node
	 * @param message creates the message for a call number
	 * @param callback receives the reply, or the failure, exactly once
	 * @return a handle to give the call up
	 */
	PendingCall call(InetSocketAddress address, LongFunction<CallMessage> message, Callback callback) {
		long number = this.nextCall.getAndIncrement();
		Destination destination = this.destinations.computeIfAbsent(address, Destination::new);
		destination.send(number, message.apply(number), callback);
		return () -> destination.abandon(number);
	}

	/**
	 * Takes a reply from a connection that this process opened.
	 * @param connection the connection
	 * @param message the reply
	 */
	void received(PeerConnection connection, CallMessage message) {
		Destination destination = this.byConnection.get(connection.id());
		if (destination != null) {
			destination.reply(message);
		}
	}

	void closed(PeerConnection connection) {
		Destination destination = this.byConnection.remove(connection.id());
		if (destination != null) {
			destination.closed(connection);
		}
	}

	/**
	 * Receives the end of a call.
	 */
	interface Callback {

		/**
		 * The other node replied.
		 * @param message the reply
		 */
		void replied(CallMessage message);

		/**
		 * The call failed.
		 * @param outcome whether it can have arrived
		 */
		void failed(CallOutcome outcome);

	}

	/**
	 * A call that waits for its reply.
	 */
	interface PendingCall {

		/**
		 * Gives the call up: its callback is not called any more, and the other node is
		 * told.
		 */
		void abandon();

	}

	/**
	 * One other node.
	 */
	private final class Destination {

		private final InetSocketAddress address;

		/** Calls sent and not yet answered. */
		private final Map<Long, Callback> pending = new HashMap<>();

		/** Calls that wait for the connection. */
		private final List<Queued> queued = new ArrayList<>();

		/** The open connection; null when there is none. */
		private PeerConnection connection;

		private boolean dialling;

		Destination(InetSocketAddress address) {
			this.address = address;
		}

		void send(long number, CallMessage message, Callback callback) {
			boolean dial;
			synchronized (this) {
				if (this.connection != null) {
					this.pending.put(number, callback);
					this.connection.send(new Frame.Call(message));
					return;
				}
				this.queued.add(new Queued(number, message, callback));
				dial = !this.dialling;
				this.dialling = true;
			}
			if (dial) {
				CallClient.this.transport.dial(this.address,
						CallClient.this.context.settings().sourceAddress().orElse(null), Purpose.CALL, this::opened,
						this::dialFailed);
			}
		}

		private synchronized void opened(PeerConnection opened) {
			this.dialling = false;
			this.connection = opened;
			CallClient.this.byConnection.put(opened.id(), this);
			for (Queued call : this.queued) {
				this.pending.put(call.number(), call.callback());
				opened.send(new Frame.Call(call.message()));
			}
			this.queued.clear();
		}

		private void dialFailed() {
			List<Queued> failed;
			synchronized (this) {
				this.dialling = false;
				failed = List.copyOf(this.queued);
				this.queued.clear();
			}
			failed.forEach((call) -> call.callback().failed(new CallOutcome.NotRun(Reason.HOME_UNREACHABLE, 0)));
		}

		void reply(CallMessage message) {
			Callback callback;
			synchronized (this) {
				callback = this.pending.remove(message.call());
			}
			if (callback != null) {
				callback.replied(message);
			}
		}

		void closed(PeerConnection candidate) {
			List<Callback> lost;
			synchronized (this) {
				if (this.connection != candidate) {
					return;
				}
				this.connection = null;
				lost = List.copyOf(this.pending.values());
				this.pending.clear();
			}
			lost.forEach((callback) -> callback.failed(new CallOutcome.Unknown(Reason.HOME_UNREACHABLE)));
		}

		void abandon(long number) {
			synchronized (this) {
				this.queued.removeIf((call) -> call.number() == number);
				Optional<Callback> callback = Optional.ofNullable(this.pending.remove(number));
				if (callback.isPresent() && this.connection != null) {
					this.connection.send(new Frame.Call(new CallMessage.Cancel(number)));
				}
			}
		}

	}

	/**
	 * A call that waits for its connection.
	 *
	 * @param number number of the call
	 * @param message the message
	 * @param callback receives the end
	 */
	private record Queued(long number, CallMessage message, Callback callback) {

	}

}
