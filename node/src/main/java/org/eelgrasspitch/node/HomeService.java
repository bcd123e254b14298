package org.eelgrasspitch.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import okhttp3.Call;
import org.eelgrasspitch.mesh.ServiceTimes;
import org.eelgrasspitch.mesh.StopSequence;
import org.eelgrasspitch.mesh.TargetStatement;
import org.eelgrasspitch.mesh.TargetStatements;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.node.EventLog.Field;
import org.eelgrasspitch.request.AdmissionQueue;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.ConcurrencyLimit;
import org.eelgrasspitch.request.Quarantine;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.request.TargetSelector;
import org.eelgrasspitch.request.Ticket;
import org.eelgrasspitch.text.OperationKind;
import org.eelgrasspitch.text.Priority;
import org.eelgrasspitch.text.Route;
import org.eelgrasspitch.text.Service;
import org.eelgrasspitch.text.Snapshot;

/**
 * Runs requests on the target of this VM. A request passes these steps in order: the
 * check that this node serves its route; for an at-most-once request the
 * {@link RecordService}, which returns the recorded outcome of a request that ran before;
 * the quarantine; the check that neither the node nor the target is leaving; the
 * {@link AdmissionQueue}; and a second check of the deadline immediately before it is
 * sent. The outcome is recorded before it is returned.
 */
final class HomeService {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final int MAX_QUEUED_PER_SLOT = 2;

	/**
	 * Cancel action of a request that is not started by this call: it was refused, its
	 * outcome is recorded, or another attempt of it is running.
	 */
	private static final Runnable NO_OP = () -> {
	};

	private final NodeContext context;

	private final TargetClient target;

	private final DeathReporter deathReporter;

	private final RecordService records;

	/** Requests that run on or wait for the target; guarded by this object's lock. */
	private final AdmissionQueue<PendingRequest> queue = new AdmissionQueue<>();

	/** Limit on the requests that run on the target; guarded by this object's lock. */
	private final ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();

	/** Service times by operation; guarded by this object's lock. */
	private final ServiceTimes serviceTimes = new ServiceTimes();

	/** Requests that crash targets; guarded by its own lock. */
	private final Quarantine<String> quarantine = new Quarantine<>();

	/** What the target has stated in its answers; guarded by this object's lock. */
	private final TargetStatements statements = new TargetStatements();

	/** True while the target's health endpoint reports that it is draining. */
	private volatile boolean targetLeaving;

	/**
	 * Monotonic time in milliseconds until which the target counts as leaving because of
	 * its last answer that said so.
	 */
	private volatile long statedLeavingUntil = Long.MIN_VALUE;

	HomeService(NodeContext context, TargetClient target, DeathReporter deathReporter, RandomGenerator random) {
		this.context = context;
		this.target = target;
		this.deathReporter = deathReporter;
		this.records = new RecordService(context, random);
	}

	/**
	 * Runs or refuses a request.
	 * @param request the request
	 * @param callback receives the outcome exactly once, or never if the request is
	 * cancelled while it is queued
	 * @return cancels the request; has no effect on an at-most-once request
	 */
	Runnable handle(CallMessage.Request request, Consumer<CallOutcome> callback) {
		Optional<Snapshot> snapshot = this.context.state().snapshot();
		if (snapshot.isEmpty()) {
			return refuse(callback, Reason.NOT_READY);
		}
		Optional<Route> route = snapshot.get().route(request.route());
		if (route.isEmpty() || !request.route().service().equals(this.context.settings().service())) {
			return refuse(callback, Reason.NO_ROUTE);
		}
		AcceptedWork.Item item = this.context.work().begin();
		Consumer<CallOutcome> answer = (outcome) -> {
			callback.accept(outcome);
			item.end();
		};
		boolean atMostOnce = route.get().operation().kind() == OperationKind.AT_MOST_ONCE;
		if (atMostOnce && !this.records.claim(request, answer)) {
			return NO_OP;
		}
		PendingRequest pending = new PendingRequest(request, route.get(), now() + request.remainingMillis(), item,
				answer);
		item.setLastAnswer(() -> timeOver(pending));
		if (isQuarantined(request)) {
			complete(pending, new CallOutcome.Unknown(Reason.QUARANTINED));
			return NO_OP;
		}
		admit(pending);
		return () -> {
			if (!atMostOnce) {
				cancel(pending);
			}
		};
	}

	/**
	 * Issues tickets for at-most-once requests.
	 * @param query the query
	 * @return the tickets or the refusal
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
	 * Returns the outcome of an at-most-once request.
	 * @param ticket the ticket of the request
	 * @return the outcome; {@link CallOutcome.Late} while it is running
	 */
	CallOutcome outcome(Ticket ticket) {
		return this.records.outcome(ticket);
	}

	/**
	 * Records that a target died while it ran a request.
	 * @param fingerprint the request's fingerprint
	 * @param target name of the target's VM
	 * @return names of all VMs whose targets are known to have died under the request
	 */
	List<String> recordDeath(Digest fingerprint, String target) {
		synchronized (this.quarantine) {
			this.quarantine.recordDeath(fingerprint, target, now());
			return List.copyOf(this.quarantine.deaths(fingerprint));
		}
	}

	/**
	 * Returns the number of requests that run on or wait for the target.
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
	 * Returns the maximum number of requests that run on the target concurrently.
	 * @return the adaptive limit, which is not applied if the setting {@code guards} is
	 * {@code none}; 0 while no configuration text contains the service
	 */
	synchronized int targetLimit() {
		return this.context.state()
			.snapshot()
			.flatMap((snapshot) -> snapshot.service(this.context.settings().service()))
			.map((service) -> this.concurrencyLimit.limit(service.slots()))
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

	void setTargetLeaving(boolean leaving) {
		this.targetLeaving = leaving;
	}

	/**
	 * Starts the requests that the target's limit has delayed and permits now.
	 */
	void startDelayed() {
		AdmissionQueue.Release<PendingRequest> release;
		do {
			synchronized (this) {
				release = (this.queue.waiting() > 0) ? this.queue.startDelayed(targetLimit(), now())
						: new AdmissionQueue.Release<>(Optional.empty(), List.of());
			}
			perform(release);
		}
		while (release.next().isPresent());
	}

	private void recordStatement(TargetStatement statement, long sentAt) {
		if (statement.leaving()) {
			this.statedLeavingUntil = now() + TargetSelector.LEAVING_EJECTION_MILLIS;
		}
		synchronized (this) {
			double former = this.statements.limitPerSecond();
			this.statements.record(statement, sentAt, now());
			if (this.statements.limitPerSecond() == former) {
				return;
			}
			this.queue.setLimit(this.statements.limitPerSecond(), this.statements.limitNamedAfterMillis(), now());
		}
		this.context.log()
			.info("target_limit_changed", Field.of("per_second",
					statement.limitPerSecond().isPresent() ? statement.limitPerSecond().getAsDouble() : "none"));
	}

	private boolean isLeaving() {
		return this.targetLeaving || now() < this.statedLeavingUntil || this.context.isLeaving();
	}

	private boolean isQuarantined(CallMessage.Request request) {
		synchronized (this.quarantine) {
			return request.fingerprint()
				.filter((fingerprint) -> this.quarantine.isQuarantined(fingerprint, now()))
				.isPresent();
		}
	}

	private void admit(PendingRequest pending) {
		if (isLeaving()) {
			complete(pending, refusal(Reason.LEAVING));
			return;
		}
		Service service = pending.route.service();
		switch (offer(pending, service.slots())) {
			case AdmissionQueue.Admission.Started<PendingRequest> started -> dispatch(pending);
			case AdmissionQueue.Admission.Queued<PendingRequest> queued -> {
				// Started when a running request ends.
			}
			case AdmissionQueue.Admission.Shed<PendingRequest> shed ->
				complete(shed.displaced().orElse(pending), refusal(Reason.OVERLOADED));
		}
	}

	private synchronized AdmissionQueue.Admission<PendingRequest> offer(PendingRequest pending, int slots) {
		return switch (this.context.settings().guards()) {
			case ALL -> this.queue.offer(pending, pending.route.operation().priority(), pending.deadlineAt,
					this.concurrencyLimit.limit(slots), MAX_QUEUED_PER_SLOT * slots, now());
			// One priority for all requests, so the queue is ordered by deadline only.
			case NONE ->
				this.queue.offer(pending, Priority.values()[0], pending.deadlineAt, slots, Integer.MAX_VALUE, now());
		};
	}

	/**
	 * Sends an admitted request to the target. The deadline is checked again because this
	 * process may have been paused since the admission. A request that is expected to
	 * outlast this node, which has begun to stop since, is refused.
	 */
	private void dispatch(PendingRequest pending) {
		if (pending.cancelled) {
			release();
			pending.item.end();
			return;
		}
		long remaining = pending.deadlineAt - now();
		if (remaining <= 0) {
			release();
			complete(pending, refusal(Reason.DEADLINE_PASSED));
			return;
		}
		if (outlastsNode(pending)) {
			release();
			complete(pending, refusal(Reason.LEAVING));
			return;
		}
		long sentAt = now();
		pending.call = this.target.send(pending.request, remaining, (statement) -> recordStatement(statement, sentAt),
				(outcome) -> targetCallEnded(pending, outcome, now() - sentAt));
		if (pending.cancelled) {
			pending.call.cancel();
		}
	}

	private synchronized boolean outlastsNode(PendingRequest pending) {
		double expectedMillis = this.serviceTimes.lastKnownMillis(pending.request.route().operation());
		return !StopSequence.endsInTime(expectedMillis, this.context.work().endAtMillis(), now());
	}

	private synchronized void recordServiceTime(PendingRequest pending, CallOutcome outcome, long millis) {
		if (outcome instanceof CallOutcome.Answered) {
			this.serviceTimes.observe(pending.request.route().operation(), millis, now());
		}
	}

	private void targetCallEnded(PendingRequest pending, CallOutcome outcome, long millis) {
		recordServiceTime(pending, outcome, millis);
		adjustLimit(outcome);
		release();
		boolean aborted = outcome instanceof CallOutcome.Unknown unknown && unknown.reason() == Reason.ANSWER_LOST;
		if (!aborted || pending.request.fingerprint().isEmpty()) {
			complete(pending, outcome);
			return;
		}
		reportDeath(pending, outcome);
	}

	private void reportDeath(PendingRequest pending, CallOutcome outcome) {
		Digest fingerprint = pending.request.fingerprint().get();
		recordDeath(fingerprint, this.context.settings().vm());
		this.deathReporter.report(pending.request.route().service(), fingerprint,
				(target) -> recordDeath(fingerprint, target), () -> complete(pending,
						isQuarantined(pending.request) ? new CallOutcome.Unknown(Reason.QUARANTINED) : outcome));
	}

	private synchronized void adjustLimit(CallOutcome outcome) {
		if (outcome instanceof CallOutcome.Answered) {
			this.concurrencyLimit.onAnswered(this.queue.running());
		}
		else if (outcome instanceof CallOutcome.NotRun notRun && notRun.reason() == Reason.TARGET_REFUSED) {
			this.concurrencyLimit.onShed();
		}
	}

	private void release() {
		AdmissionQueue.Release<PendingRequest> release;
		synchronized (this) {
			release = this.queue.release(now());
		}
		perform(release);
	}

	private void perform(AdmissionQueue.Release<PendingRequest> release) {
		release.expired().forEach((expired) -> complete(expired, refusal(Reason.DEADLINE_PASSED)));
		release.next().ifPresent(this::dispatch);
	}

	private void cancel(PendingRequest pending) {
		boolean wasQueued;
		pending.cancelled = true;
		synchronized (this) {
			wasQueued = this.queue.remove(pending);
		}
		Call call = pending.call;
		if (wasQueued) {
			pending.item.end();
		}
		else if (call != null) {
			call.cancel();
		}
	}

	/**
	 * Sends the last answer: a refusal if the request waits, which it then does no
	 * longer.
	 */
	private void timeOver(PendingRequest pending) {
		boolean wasQueued;
		synchronized (this) {
			wasQueued = this.queue.remove(pending);
		}
		complete(pending, wasQueued ? refusal(Reason.LEAVING) : new CallOutcome.Unknown(Reason.LEAVING));
	}

	private void complete(PendingRequest pending, CallOutcome outcome) {
		if (!pending.ended.compareAndSet(false, true)) {
			return;
		}
		pending.request.ticket().ifPresent((ticket) -> this.records.end(ticket, outcome));
		pending.callback.accept(outcome);
	}

	private Runnable refuse(Consumer<CallOutcome> callback, Reason reason) {
		callback.accept(refusal(reason));
		return NO_OP;
	}

	private long now() {
		return this.context.time().monotonicMillis();
	}

	private static CallOutcome refusal(Reason reason) {
		return new CallOutcome.NotRun(reason, RETRY_AFTER_MILLIS);
	}

	/**
	 * A request that waits for or runs on the target.
	 */
	private static final class PendingRequest {

		private final CallMessage.Request request;

		private final Route route;

		/** Deadline, in monotonic milliseconds. */
		private final long deadlineAt;

		/** The work that the request is. */
		private final AcceptedWork.Item item;

		private final Consumer<CallOutcome> callback;

		/** True once the outcome is known. */
		private final AtomicBoolean ended = new AtomicBoolean();

		/** Whether nobody waits for the outcome any more. */
		private volatile boolean cancelled;

		/** The call to the target; null until it is sent. */
		private volatile Call call;

		PendingRequest(CallMessage.Request request, Route route, long deadlineAt, AcceptedWork.Item item,
				Consumer<CallOutcome> callback) {
			this.request = request;
			this.route = route;
			this.deadlineAt = deadlineAt;
			this.item = item;
			this.callback = callback;
		}

	}

}
