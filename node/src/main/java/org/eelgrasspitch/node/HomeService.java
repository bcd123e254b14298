package org.eelgrasspitch.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.eelgrasspitch.fleet.LifeState;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.request.AdmissionQueue;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Claim;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.request.RecordTable;
import org.eelgrasspitch.request.Ticket;
import org.eelgrasspitch.text.OperationKind;
import org.eelgrasspitch.text.Route;
import org.eelgrasspitch.text.Service;
import org.eelgrasspitch.text.Snapshot;

/**
 * Runs requests on this VM's target: claims at-most-once requests in the
 * {@link RecordTable}, admits work through the {@link AdmissionQueue}, checks the
 * deadline again right before the request is sent, and records how it ended.
 */
final class HomeService {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final int QUEUE_PER_SLOT = 2;

	private static final int MAX_TICKETS = 100;

	private final NodeContext context;

	private final TargetClient target;

	/** Records of at-most-once requests; guarded by this object's lock. */
	private final RecordTable records;

	/**
	 * Attempts that wait for a running request's outcome; guarded by this object's lock.
	 */
	private final Map<Ticket, List<Consumer<CallOutcome>>> followers = new HashMap<>();

	/** Work admitted to the target; guarded by this object's lock. */
	private final AdmissionQueue<Work> queue = new AdmissionQueue<>();

	/** True while the target itself says that it is draining. */
	private volatile boolean targetLeaving;

	HomeService(NodeContext context, TargetClient target, RandomGenerator random) {
		this.context = context;
		this.target = target;
		NodeSettings settings = context.settings();
		this.records = new RecordTable(settings.vm(), settings.advertisedAddress(), context.incarnation(),
				settings.recordCapacity(), random);
	}

	/**
	 * Runs a request, or says why not.
	 * @param request the request
	 * @param reply receives the outcome exactly once
	 */
	void handle(CallMessage.Request request, Consumer<CallOutcome> reply) {
		Optional<Snapshot> snapshot = this.context.state().snapshot();
		if (snapshot.isEmpty()) {
			reply.accept(refused(Reason.NOT_READY));
			return;
		}
		Optional<Route> route = snapshot.get().route(request.route());
		if (route.isEmpty() || !request.route().service().equals(this.context.settings().service())) {
			reply.accept(refused(Reason.NO_ROUTE));
			return;
		}
		long deadlineAt = this.context.time().monotonicMillis() + request.remainingMillis();
		Work work = new Work(request, route.get(), deadlineAt, reply);
		if (route.get().operation().kind() == OperationKind.AT_MOST_ONCE) {
			claim(work);
			return;
		}
		if (isLeaving()) {
			reply.accept(refused(Reason.LEAVING));
			return;
		}
		admit(work);
	}

	/**
	 * Issues tickets for at-most-once requests.
	 * @param query what is asked for
	 * @return the tickets, or the refusal
	 */
	CallMessage.Tickets tickets(CallMessage.TicketQuery query) {
		if (isLeaving()) {
			return new CallMessage.Tickets(query.call(), List.of(), Optional.of(Reason.LEAVING));
		}
		if (!query.route().service().equals(this.context.settings().service())) {
			return new CallMessage.Tickets(query.call(), List.of(), Optional.of(Reason.NO_ROUTE));
		}
		int count = Math.max(1, Math.min(query.count(), MAX_TICKETS));
		synchronized (this) {
			return new CallMessage.Tickets(query.call(), this.records.issue(count, this.context.uptimeMillis()),
					Optional.empty());
		}
	}

	/**
	 * Tells what became of an at-most-once request.
	 * @param ticket its ticket
	 * @return the outcome, or {@link CallOutcome.Late} while it runs
	 */
	synchronized CallOutcome outcome(Ticket ticket) {
		return this.records.outcome(ticket, this.context.uptimeMillis());
	}

	/**
	 * Returns the number of requests that run or wait here.
	 * @return the number
	 */
	synchronized int inFlight() {
		return this.queue.running() + this.queue.waiting();
	}

	synchronized int recordCount() {
		return this.records.size();
	}

	void targetLeaving(boolean leaving) {
		this.targetLeaving = leaving;
	}

	private boolean isLeaving() {
		LifeState life = this.context.state().life();
		return this.targetLeaving || life == LifeState.LEAVING || life == LifeState.STOPPED;
	}

	private void claim(Work work) {
		CallMessage.Request request = work.request();
		if (request.ticket().isEmpty()) {
			work.reply().accept(refused(Reason.TICKET_MISUSED));
			return;
		}
		Ticket ticket = request.ticket().get();
		Claim claim;
		synchronized (this) {
			claim = this.records.claim(ticket, content(request), this.context.uptimeMillis());
			if (claim instanceof Claim.Running) {
				this.followers.computeIfAbsent(ticket, (key) -> new ArrayList<>()).add(work.reply());
			}
		}
		switch (claim) {
			case Claim.Start start -> start(work);
			case Claim.Running running -> {
				// The attempt that runs answers this one as well.
			}
			case Claim.Finished finished -> work.reply().accept(finished.outcome());
			case Claim.Refused refusal -> work.reply().accept(refusal.outcome());
		}
	}

	private void start(Work work) {
		if (isLeaving()) {
			end(work, refused(Reason.LEAVING));
			return;
		}
		admit(work);
	}

	private void admit(Work work) {
		Service service = work.route().service();
		AdmissionQueue.Admission<Work> admission;
		synchronized (this) {
			admission = this.queue.offer(work, work.route().operation().priority(), work.deadlineAt(), service.slots(),
					QUEUE_PER_SLOT * service.slots());
		}
		switch (admission) {
			case AdmissionQueue.Admission.Started<Work> started -> dispatch(work);
			case AdmissionQueue.Admission.Queued<Work> queued -> {
				// A release starts it.
			}
			case AdmissionQueue.Admission.Shed<Work> shed ->
				end(shed.displaced().orElse(work), refused(Reason.OVERLOADED));
		}
	}

	/**
	 * Sends admitted work to the target. The deadline is checked here again: this process
	 * may have been paused since the work was admitted.
	 */
	private void dispatch(Work work) {
		long remaining = work.deadlineAt() - this.context.time().monotonicMillis();
		if (remaining <= 0) {
			end(work, refused(Reason.DEADLINE_PASSED));
			release();
			return;
		}
		this.target.send(work.request(), remaining, (outcome) -> {
			end(work, outcome);
			release();
		});
	}

	private void release() {
		AdmissionQueue.Release<Work> release;
		synchronized (this) {
			release = this.queue.release(this.context.time().monotonicMillis());
		}
		release.expired().forEach((expired) -> end(expired, refused(Reason.DEADLINE_PASSED)));
		release.next().ifPresent(this::dispatch);
	}

	private void end(Work work, CallOutcome outcome) {
		List<Consumer<CallOutcome>> waiting = List.of();
		Optional<Ticket> ticket = work.request().ticket();
		if (ticket.isPresent()) {
			synchronized (this) {
				if (outcome instanceof CallOutcome.NotRun) {
					this.records.release(ticket.get());
				}
				else {
					this.records.finish(ticket.get(), outcome);
				}
				List<Consumer<CallOutcome>> removed = this.followers.remove(ticket.get());
				waiting = (removed != null) ? removed : List.of();
			}
		}
		work.reply().accept(outcome);
		waiting.forEach((reply) -> reply.accept(outcome));
	}

	private static Digest content(CallMessage.Request request) {
		return Digest
			.of((request.route() + "\n" + Digest.of(request.body())).getBytes(java.nio.charset.StandardCharsets.UTF_8));
	}

	private static CallOutcome refused(Reason reason) {
		return new CallOutcome.NotRun(reason, RETRY_AFTER_MILLIS);
	}

	/**
	 * A request on its way to the target.
	 *
	 * @param request the request
	 * @param route its operation
	 * @param deadlineAt when its caller stops waiting, in monotonic milliseconds
	 * @param reply receives the outcome
	 */
	private record Work(CallMessage.Request request, Route route, long deadlineAt, Consumer<CallOutcome> reply) {

	}

}
