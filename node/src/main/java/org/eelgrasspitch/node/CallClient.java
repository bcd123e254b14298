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
 * Call numbers are unique within this process; a reply whose call is no longer pending is
 * dropped. If the connection could not be opened, the call has certainly not left this
 * process, so it fails with {@link CallOutcome.NotRun}. If the connection was lost later,
 * the call may have arrived, so it fails with {@link CallOutcome.Unknown}.
 */
final class CallClient {

	private final NodeContext context;

	/** Destinations by address. */
	private final Map<InetSocketAddress, Destination> destinations = new ConcurrentHashMap<>();

	/** Destinations by the id of their open connection. */
	private final Map<Long, Destination> destinationsByConnection = new ConcurrentHashMap<>();

	private final AtomicLong nextCallNumber = new AtomicLong(1);

	/** Opens connections; set once before the first call. */
	private volatile PeerTransport transport;

	CallClient(NodeContext context) {
		this.context = context;
	}

	void setTransport(PeerTransport startedTransport) {
		this.transport = startedTransport;
	}

	/**
	 * Sends a call.
	 * @param address address of the other node
	 * @param messageFactory creates the message for a given call number
	 * @param callback receives the reply or the failure, exactly once unless the call is
	 * cancelled
	 * @return a handle to cancel the call
	 */
	PendingCall call(InetSocketAddress address, LongFunction<CallMessage> messageFactory, Callback callback) {
		long callNumber = this.nextCallNumber.getAndIncrement();
		Destination destination = this.destinations.computeIfAbsent(address, Destination::new);
		destination.send(callNumber, messageFactory.apply(callNumber), callback);
		return () -> destination.cancel(callNumber);
	}

	/**
	 * Handles a reply on a connection that this process opened.
	 * @param connection the connection
	 * @param message the reply; dropped if its call is not pending
	 */
	void received(PeerConnection connection, CallMessage message) {
		Destination destination = this.destinationsByConnection.get(connection.id());
		if (destination != null) {
			destination.received(message);
		}
	}

	void closed(PeerConnection connection) {
		Destination destination = this.destinationsByConnection.remove(connection.id());
		if (destination != null) {
			destination.closed(connection);
		}
	}

	/**
	 * Receives the result of a call.
	 */
	interface Callback {

		/**
		 * Called with the reply of the other node.
		 * @param message the reply
		 */
		void replied(CallMessage message);

		/**
		 * Called when the call failed.
		 * @param outcome {@link CallOutcome.NotRun} if the call has not left this
		 * process, {@link CallOutcome.Unknown} if it may have arrived
		 */
		void failed(CallOutcome outcome);

	}

	/**
	 * A call whose reply is outstanding.
	 */
	interface PendingCall {

		/**
		 * Cancels the call: its callback is no longer called, and the other node is
		 * notified if the call was sent.
		 * @return true if the call was not sent and will not be; false if it may have
		 * been
		 */
		boolean cancel();

	}

	/**
	 * Connection to one other node and the calls to it.
	 */
	private final class Destination {

		private final InetSocketAddress address;

		/** Callbacks of sent calls without a reply, by call number. */
		private final Map<Long, Callback> sentCallbacks = new HashMap<>();

		/** Calls that wait for the connection to open. */
		private final List<QueuedCall> queuedCalls = new ArrayList<>();

		/** The open connection, or null. */
		private PeerConnection connection;

		private boolean connecting;

		Destination(InetSocketAddress address) {
			this.address = address;
		}

		void send(long callNumber, CallMessage message, Callback callback) {
			boolean connect;
			synchronized (this) {
				if (this.connection != null) {
					this.sentCallbacks.put(callNumber, callback);
					this.connection.send(new Frame.Call(message));
					return;
				}
				this.queuedCalls.add(new QueuedCall(callNumber, message, callback));
				connect = !this.connecting;
				this.connecting = true;
			}
			if (connect) {
				CallClient.this.transport.dial(this.address,
						CallClient.this.context.settings().sourceAddress().orElse(null), Purpose.CALL, this::opened,
						this::connectFailed);
			}
		}

		private synchronized void opened(PeerConnection opened) {
			this.connecting = false;
			this.connection = opened;
			CallClient.this.destinationsByConnection.put(opened.id(), this);
			for (QueuedCall call : this.queuedCalls) {
				this.sentCallbacks.put(call.callNumber(), call.callback());
				opened.send(new Frame.Call(call.message()));
			}
			this.queuedCalls.clear();
		}

		private void connectFailed() {
			List<QueuedCall> failed;
			synchronized (this) {
				this.connecting = false;
				failed = List.copyOf(this.queuedCalls);
				this.queuedCalls.clear();
			}
			failed.forEach((call) -> call.callback().failed(new CallOutcome.NotRun(Reason.HOME_UNREACHABLE, 0)));
		}

		void received(CallMessage message) {
			Callback callback;
			synchronized (this) {
				callback = this.sentCallbacks.remove(message.call());
			}
			if (callback != null) {
				callback.replied(message);
			}
		}

		void closed(PeerConnection closedConnection) {
			List<Callback> unanswered;
			synchronized (this) {
				if (this.connection != closedConnection) {
					return;
				}
				this.connection = null;
				unanswered = List.copyOf(this.sentCallbacks.values());
				this.sentCallbacks.clear();
			}
			unanswered.forEach((callback) -> callback.failed(new CallOutcome.Unknown(Reason.HOME_UNREACHABLE)));
		}

		boolean cancel(long callNumber) {
			synchronized (this) {
				boolean wasQueued = this.queuedCalls.removeIf((call) -> call.callNumber() == callNumber);
				Optional<Callback> callback = Optional.ofNullable(this.sentCallbacks.remove(callNumber));
				if (callback.isPresent() && this.connection != null) {
					this.connection.send(new Frame.Call(new CallMessage.Cancel(callNumber)));
				}
				return wasQueued;
			}
		}

	}

	/**
	 * A call that waits for the connection to open.
	 *
	 * @param callNumber number of the call
	 * @param message the message to send
	 * @param callback receives the result
	 */
	private record QueuedCall(long callNumber, CallMessage message, Callback callback) {

	}

}
