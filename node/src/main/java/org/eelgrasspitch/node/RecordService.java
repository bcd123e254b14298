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
 * Guards the {@link RecordTable} by a lock and lets attempts that find their request
 * running wait for its outcome.
 */
final class RecordService {

	private static final int MAX_TICKETS_PER_QUERY = 100;

	private final NodeContext context;

	private final RecordTable table;

	/** Attempts that wait for a running request's outcome. */
	private final Map<Ticket, List<Consumer<CallOutcome>>> waitingReplies = new HashMap<>();

	RecordService(NodeContext context, RandomGenerator random) {
		this.context = context;
		NodeSettings settings = context.settings();
		this.table = new RecordTable(settings.vm(), settings.advertisedAddress(), context.incarnation(),
				settings.recordCapacity(), random);
	}

	synchronized List<Ticket> issue(int requestedCount) {
		int count = Math.max(1, Math.min(requestedCount, MAX_TICKETS_PER_QUERY));
		return this.table.issue(count, this.context.uptimeMillis());
	}

	/**
	 * Tries to start a request.
	 * @param request a request of an at-most-once operation
	 * @param reply receives the outcome when the request must not be started by this
	 * attempt
	 * @return true when this attempt must start it
	 */
	boolean claim(CallMessage.Request request, Consumer<CallOutcome> reply) {
		if (request.ticket().isEmpty()) {
			reply.accept(new CallOutcome.NotRun(Reason.TICKET_MISUSED, 0));
			return false;
		}
		switch (claimOrWait(request.ticket().get(), request, reply)) {
			case ClaimResult.Start start -> {
				return true;
			}
			case ClaimResult.Running running -> {
				// The attempt that runs answers this one as well.
			}
			case ClaimResult.Finished finished -> reply.accept(finished.outcome());
			case ClaimResult.Refused refused -> reply.accept(refused.outcome());
		}
		return false;
	}

	/**
	 * Records how a started request ended and tells the attempts that wait for it.
	 * @param ticket its ticket
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
			List<Consumer<CallOutcome>> removed = this.waitingReplies.remove(ticket);
			waiting = (removed != null) ? removed : List.of();
		}
		waiting.forEach((reply) -> reply.accept(outcome));
	}

	synchronized CallOutcome outcome(Ticket ticket) {
		return this.table.outcome(ticket, this.context.uptimeMillis());
	}

	synchronized int size() {
		return this.table.size();
	}

	private synchronized ClaimResult claimOrWait(Ticket ticket, CallMessage.Request request,
			Consumer<CallOutcome> reply) {
		ClaimResult claim = this.table.claim(ticket, requestDigest(request), this.context.uptimeMillis());
		if (claim instanceof ClaimResult.Running) {
			this.waitingReplies.computeIfAbsent(ticket, (key) -> new ArrayList<>()).add(reply);
		}
		return claim;
	}

	private static Digest requestDigest(CallMessage.Request request) {
		String text = request.route() + "\n" + Digest.of(request.body());
		return Digest.of(text.getBytes(StandardCharsets.UTF_8));
	}

}
