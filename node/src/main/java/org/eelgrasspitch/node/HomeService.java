package org.eelgrasspitch.node;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import okhttp3.Call;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.request.AdmissionQueue;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.ConcurrencyLimit;
import org.eelgrasspitch.request.Quarantine;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.request.Ticket;
import org.eelgrasspitch.text.OperationKind;
import org.eelgrasspitch.text.Priority;
import org.eelgrasspitch.text.Route;
import org.eelgrasspitch.text.Service;
import org.eelgrasspitch.text.Snapshot;

/**
 * Runs requests on this VM's target. A request passes, in this order: the check that this
 * node holds its route, for at-most-once requests the {@link RecordKeeper}, which answers
 * one that ran before, the quarantine, the {@link AdmissionQueue}, and once more the
 * deadline right before it is sent. How it ended is recorded before anybody is told.
 */
final class HomeService {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final int QUEUE_PER_SLOT = 2;

	/** What a request that was ended before it started gives to its sender. */
	private static final Runnable NOTHING_TO_CANCEL = () -> {
	};

	private final NodeContext context;

	private final TargetClient target;

	private final DeathReporter deaths;

	private final RecordKeeper records;

	/** Work admitted to the target; guarded by this object's lock. */
	private final AdmissionQueue<Work> queue = new AdmissionQueue<>();

	/** Limit of work in progress; guarded by this object's lock. */
	private final ConcurrencyLimit limit = new ConcurrencyLimit();

	/** Requests that crash targets; guarded by its own lock. */
	private final Quarantine quarantine = new Quarantine();

	/** True while the target itself says that it is draining. */
	private volatile boolean targetLeaving;

	HomeService(NodeContext context, TargetClient target, DeathReporter deaths, RandomGenerator random) {
		this.context = context;
		this.target = target;
		this.deaths = deaths;
		this.records = new RecordKeeper(context, random);
	}

	/**
	 * Runs a request, or says why not.
	 * @param request the request
	 * @param reply receives the outcome exactly once
	 * @return gives the request up when nobody waits for it any more; an at-most-once
	 * request goes on all the same
	 */
	Runnable handle(CallMessage.Request request, Consumer<CallOutcome> reply) {
		Optional<Snapshot> snapshot = this.context.state().snapshot();
		if (snapshot.isEmpty()) {
			return refuse(reply, Reason.NOT_READY);
		}
		Optional<Route> route = snapshot.get().route(request.route());
		if (route.isEmpty() || !request.route().service().equals(this.context.settings().service())) {
			return refuse(reply, Reason.NO_ROUTE);
		}
		Work work = new Work(request, route.get(), now() + request.remainingMillis(), reply);
		boolean atMostOnce = route.get().operation().kind() == OperationKind.AT_MOST_ONCE;
		if (atMostOnce && !this.records.claim(request, reply)) {
			return NOTHING_TO_CANCEL;
		}
		if (isQuarantined(request)) {
			end(work, new CallOutcome.Unknown(Reason.QUARANTINED));
			return NOTHING_TO_CANCEL;
		}
		start(work);
		return () -> {
			if (!atMostOnce) {
				cancel(work);
			}
		};
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
		return new CallMessage.Tickets(query.call(), this.records.issue(query.count()), Optional.empty());
	}

	/**
	 * Tells what became of an at-most-once request.
	 * @param ticket its ticket
	 * @return the outcome, or {@link CallOutcome.Late} while it runs
	 */
	CallOutcome outcome(Ticket ticket) {
		return this.records.outcome(ticket);
	}

	/**
	 * Takes note that another node's target died while it ran a request.
	 * @param notice the report
	 */
	void noteDeath(CallMessage.DeathNotice notice) {
		synchronized (this.quarantine) {
			this.quarantine.recordDeath(notice.fingerprint(), notice.target(), now());
		}
	}

	/**
	 * Returns the number of requests that run or wait here.
	 * @return the number
	 */
	synchronized int inFlight() {
		return this.queue.running() + this.queue.waiting();
	}

	synchronized int running() {
		return this.queue.running();
	}

	synchronized int waiting() {
		return this.queue.waiting();
	}

	/**
	 * Returns how many requests may run on the target at a time.
	 * @return the adaptive limit; 0 while no text names the service
	 */
	synchronized int targetLimit() {
		return this.context.state()
			.snapshot()
			.flatMap((snapshot) -> snapshot.service(this.context.settings().service()))
			.map((service) -> this.limit.limit(service.slots()))
			.orElse(0);
	}

	int recordCount() {
		return this.records.size();
	}

	int quarantineCount() {
		synchronized (this.quarantine) {
			return this.quarantine.count(now());
		}
	}

	void targetLeaving(boolean leaving) {
		this.targetLeaving = leaving;
	}

	private boolean isLeaving() {
		return this.targetLeaving || this.context.state().life().isLeaving();
	}

	private boolean isQuarantined(CallMessage.Request request) {
		synchronized (this.quarantine) {
			return request.fingerprint().filter((known) -> this.quarantine.isQuarantined(known, now())).isPresent();
		}
	}

	private void start(Work work) {
		if (isLeaving()) {
			end(work, refused(Reason.LEAVING));
			return;
		}
		Service service = work.route.service();
		switch (offer(work, service.slots())) {
			case AdmissionQueue.Admission.Started<Work> started -> dispatch(work);
			case AdmissionQueue.Admission.Queued<Work> queued -> {
				// A release starts it.
			}
			case AdmissionQueue.Admission.Shed<Work> shed ->
				end(shed.displaced().orElse(work), refused(Reason.OVERLOADED));
		}
	}

	private synchronized AdmissionQueue.Admission<Work> offer(Work work, int slots) {
		return switch (this.context.settings().guards()) {
			case ALL -> this.queue.offer(work, work.route.operation().priority(), work.deadlineAt,
					this.limit.limit(slots), QUEUE_PER_SLOT * slots);
			case NONE -> this.queue.offer(work, Priority.values()[0], work.deadlineAt, slots, Integer.MAX_VALUE);
		};
	}

	/**
	 * Sends admitted work to the target. The deadline is checked here again: this process
	 * may have been paused since the work was admitted.
	 */
	private void dispatch(Work work) {
		long remaining = work.deadlineAt - now();
		if (remaining <= 0) {
			release();
			end(work, refused(Reason.DEADLINE_PASSED));
			return;
		}
		work.call = this.target.send(work.request, remaining, (outcome) -> answered(work, outcome));
	}

	private void answered(Work work, CallOutcome outcome) {
		adjustLimit(outcome);
		release();
		boolean brokeOff = outcome instanceof CallOutcome.Unknown unknown && unknown.reason() == Reason.ANSWER_LOST;
		if (!brokeOff || work.request.fingerprint().isEmpty()) {
			end(work, outcome);
			return;
		}
		brokeOff(work, outcome);
	}

	private void brokeOff(Work work, CallOutcome outcome) {
		Digest fingerprint = work.request.fingerprint().get();
		noteDeath(new CallMessage.DeathNotice(0, fingerprint, this.context.settings().vm()));
		this.deaths.report(work.request.route().service(), fingerprint,
				() -> end(work, isQuarantined(work.request) ? new CallOutcome.Unknown(Reason.QUARANTINED) : outcome));
	}

	private synchronized void adjustLimit(CallOutcome outcome) {
		if (outcome instanceof CallOutcome.Answered) {
			this.limit.onAnswered(this.queue.running());
		}
		else if (outcome instanceof CallOutcome.NotRun notRun && notRun.reason() == Reason.TARGET_REFUSED) {
			this.limit.onShed();
		}
	}

	private void release() {
		AdmissionQueue.Release<Work> release;
		synchronized (this) {
			release = this.queue.release(now());
		}
		release.expired().forEach((expired) -> end(expired, refused(Reason.DEADLINE_PASSED)));
		release.next().ifPresent(this::dispatch);
	}

	private void cancel(Work work) {
		boolean waited;
		synchronized (this) {
			waited = this.queue.remove(work);
		}
		Call call = work.call;
		if (!waited && call != null) {
			call.cancel();
		}
	}

	private void end(Work work, CallOutcome outcome) {
		work.request.ticket().ifPresent((ticket) -> this.records.end(ticket, outcome));
		work.reply.accept(outcome);
	}

	private Runnable refuse(Consumer<CallOutcome> reply, Reason reason) {
		reply.accept(refused(reason));
		return NOTHING_TO_CANCEL;
	}

	private long now() {
		return this.context.time().monotonicMillis();
	}

	private static CallOutcome refused(Reason reason) {
		return new CallOutcome.NotRun(reason, RETRY_AFTER_MILLIS);
	}

	/**
	 * A request on its way to the target.
	 */
	private static final class Work {

		private final CallMessage.Request request;

		private final Route route;

		/** When its caller stops waiting, in monotonic milliseconds. */
		private final long deadlineAt;

		private final Consumer<CallOutcome> reply;

		/** The call to the target; null until dispatched. */
		private volatile Call call;

		Work(CallMessage.Request request, Route route, long deadlineAt, Consumer<CallOutcome> reply) {
			this.request = request;
			this.route = route;
			this.deadlineAt = deadlineAt;
			this.reply = reply;
		}

	}

}
