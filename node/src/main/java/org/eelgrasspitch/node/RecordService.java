package org.eelgrasspitch.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.ClaimResult;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.request.RecordTable;
import org.eelgrasspitch.request.Ticket;

/**
 * Synchronizes access to the {@link RecordTable} and lets attempts whose request is
 * already running wait for its outcome.
 */
final class RecordService {

	private static final int MAX_TICKETS_PER_QUERY = 100;

	private final NodeContext context;

	private final RecordTable table;

	/**
	 * Callbacks of the attempts that wait for the outcome of a running request, by
	 * ticket.
	 */
	private final Map<Ticket, List<Consumer<CallOutcome>>> waitingCallbacks = new HashMap<>();

	RecordService(NodeContext context, RandomGenerator random) {
		this.context = context;
		NodeSettings settings = context.settings();
		this.table = new RecordTable(settings.vm(), settings.advertisedAddress(), context.incarnation(),
				settings.recordCapacity(), random);
	}

	/**
	 * Issues tickets.
	 * @param requestedCount number of tickets; a number outside the range from 1 to
	 * {@link #MAX_TICKETS_PER_QUERY} is replaced by the nearest number in it
	 * @return the tickets
	 */
	synchronized List<Ticket> issue(int requestedCount) {
		int count = Math.max(1, Math.min(requestedCount, MAX_TICKETS_PER_QUERY));
		return this.table.issue(count, this.context.uptimeMillis());
	}

	/**
	 * Tries to claim a request for this attempt.
	 * @param request a request of an at-most-once operation
	 * @param callback receives the outcome if this attempt must not start the request
	 * @return true if this attempt must start the request
	 */
	boolean claim(CallMessage.Request request, Consumer<CallOutcome> callback) {
		if (request.ticket().isEmpty()) {
			callback.accept(new CallOutcome.NotRun(Reason.TICKET_MISUSED, 0));
			return false;
		}
		switch (claimOrWait(request.ticket().get(), request, callback)) {
			case ClaimResult.Start start -> {
				return true;
			}
			case ClaimResult.Running running -> {
				// The outcome of the running attempt is passed to this one as well.
			}
			case ClaimResult.Finished finished -> callback.accept(finished.outcome());
			case ClaimResult.Refused refused -> callback.accept(refused.outcome());
		}
		return false;
	}

	/**
	 * Records the outcome of a claimed request and passes it to the attempts that wait
	 * for it.
	 * @param ticket the ticket of the request
	 * @param outcome the outcome
	 */
	void end(Ticket ticket, CallOutcome outcome) {
		List<Consumer<CallOutcome>> waiting;
		synchronized (this) {
			if (outcome instanceof CallOutcome.NotRun) {
				this.table.release(ticket);
			}
			else {
				this.table.finish(ticket, outcome);
			}
			List<Consumer<CallOutcome>> removed = this.waitingCallbacks.remove(ticket);
			waiting = (removed != null) ? removed : List.of();
		}
		waiting.forEach((callback) -> callback.accept(outcome));
	}

	synchronized CallOutcome outcome(Ticket ticket) {
		return this.table.outcome(ticket, this.context.uptimeMillis());
	}

	synchronized int size() {
		return this.table.size();
	}

	private synchronized ClaimResult claimOrWait(Ticket ticket, CallMessage.Request request,
			Consumer<CallOutcome> callback) {
		ClaimResult claim = this.table.claim(ticket, requestDigest(request), this.context.uptimeMillis());
		if (claim instanceof ClaimResult.Running) {
			this.waitingCallbacks.computeIfAbsent(ticket, (key) -> new ArrayList<>()).add(callback);
		}
		return claim;
	}

	private static Digest requestDigest(CallMessage.Request request) {
		String text = request.route() + "\n" + Digest.of(request.body());
		return Digest.of(text.getBytes(StandardCharsets.UTF_8));
	}

}
