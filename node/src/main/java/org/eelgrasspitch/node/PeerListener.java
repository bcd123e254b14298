package org.eelgrasspitch.node;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;

import org.eelgrasspitch.fleet.FleetEvent;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.node.EventLog.Field;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.wire.ConnectionListener;
import org.eelgrasspitch.wire.Frame;
import org.eelgrasspitch.wire.PeerConnection;
import org.eelgrasspitch.wire.Purpose;

/**
 * Dispatches frames and connection events from other nodes to the responsible components.
 */
final class PeerListener implements ConnectionListener {

	private final NodeContext context;

	private final ControlLoop control;

	private final CallClient calls;

	private final HomeService home;

	/** Cancel actions of the requests that run here for other nodes. */
	private final Map<RunningCallKey, Runnable> cancelActions = new ConcurrentHashMap<>();

	/** Receives the revisions that other nodes use. */
	private final LongConsumer revisionListener;

	PeerListener(NodeContext context, ControlLoop control, CallClient calls, HomeService home,
			LongConsumer revisionListener) {
		this.revisionListener = revisionListener;
		this.context = context;
		this.control = control;
		this.calls = calls;
		this.home = home;
	}

	@Override
	public void opened(PeerConnection connection) {
		if (connection.purpose() == Purpose.FLEET && !connection.isOutbound()) {
			this.control.accepted(connection);
		}
	}

	@Override
	public void received(PeerConnection connection, Frame frame) {
		switch (frame) {
			case Frame.Fleet fleet when connection.purpose() == Purpose.FLEET ->
				this.control.post(new FleetEvent.Received(connection.id(), fleet.message()));
			case Frame.Call call when connection.purpose() == Purpose.CALL -> handle(connection, call.message());
			default -> connection.close();
		}
	}

	@Override
	public void closed(PeerConnection connection) {
		if (connection.purpose() == Purpose.FLEET) {
			this.control.closed(connection);
			return;
		}
		this.calls.closed(connection);
	}

	@Override
	public void malformed(String remote, Problem problem) {
		this.context.log().warn("malformed_frame", Field.of("remote", remote), Field.of("problem", problem.message()));
	}

	private void handle(PeerConnection connection, CallMessage message) {
		switch (message) {
			case CallMessage.Request request -> {
				this.revisionListener.accept(request.revision());
				run(connection, request);
			}
			case CallMessage.Reply reply -> {
				this.revisionListener.accept(reply.revision());
				this.calls.received(connection, reply);
			}
			case CallMessage.Tickets tickets -> this.calls.received(connection, tickets);
			case CallMessage.TicketQuery query -> reply(connection, this.home.tickets(query));
			case CallMessage.OutcomeQuery query -> reply(connection, new CallMessage.Reply(query.call(),
					this.home.outcome(query.ticket()), this.context.state().revision()));
			case CallMessage.DeathNotice notice -> {
				List<String> targets = this.home.recordDeath(notice.fingerprint(), notice.target());
				reply(connection, new CallMessage.DeathNoticeAck(notice.call(), targets));
			}
			case CallMessage.DeathNoticeAck ack -> this.calls.received(connection, ack);
			case CallMessage.Cancel cancel -> {
				Runnable cancelAction = this.cancelActions.remove(new RunningCallKey(connection.id(), cancel.call()));
				if (cancelAction != null) {
					cancelAction.run();
				}
			}
		}
	}

	private void run(PeerConnection connection, CallMessage.Request request) {
		RunningCallKey key = new RunningCallKey(connection.id(), request.call());
		AtomicBoolean ended = new AtomicBoolean();
		Runnable cancelAction = this.home.handle(request, (outcome) -> {
			ended.set(true);
			this.cancelActions.remove(key);
			reply(connection, new CallMessage.Reply(request.call(), outcome, this.context.state().revision()));
		});
		this.cancelActions.put(key, cancelAction);
		if (ended.get()) {
			this.cancelActions.remove(key);
		}
	}

	/**
	 * Sends a reply, which is accepted work until it has been written.
	 */
	private void reply(PeerConnection connection, CallMessage message) {
		AcceptedWork.Item item = this.context.work().begin();
		connection.send(new Frame.Call(message), item::end);
	}

	/**
	 * Identifies a request that runs here.
	 *
	 * @param connection id of the connection on which it arrived
	 * @param call number of the call
	 */
	private record RunningCallKey(long connection, long call) {

	}

}
