package org.eelgrasspitch.node;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.util.Timeout;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.OutcomeClaim;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.request.RetryPolicy;
import org.eelgrasspitch.request.Ticket;
import org.eelgrasspitch.text.Operation;
import org.eelgrasspitch.text.OperationKind;
import org.eelgrasspitch.text.Route;
import org.eelgrasspitch.text.Snapshot;
import org.eelgrasspitch.text.Vm;

/**
 * Handles one caller's request at its entry node, with the snapshot that was current when
 * it started.
 * <p>
 * An idempotent request is sent to a selected target and, if {@link RetryPolicy} permits,
 * to others. An at-most-once request is sent only to the home of its ticket. At the
 * deadline the caller gets a response at once and the attempt in progress is cancelled,
 * except for an at-most-once request, which continues. The caller of an at-most-once
 * request that is late is told where to query its outcome.
 * <p>
 * A refusal states that the request has not run only if no attempt of this call can have
 * run.
 */
final class EntryCall {

	private static final long OUTCOME_POLL_MILLIS = 1_000;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final EntryService entry;

	private final Snapshot snapshot;

	private final Route route;

	private final CallerRequest request;

	private final OnceConsumer<EntryReply> callback;

	/** Deadline, in monotonic milliseconds. */
	private final long deadlineAt;

	/** Names of the VMs to which the request was sent. */
	private final Set<String> triedVms = new HashSet<>();

	/**
	 * True once an attempt ended with an unknown outcome or the deadline passed.
	 */
	private boolean mayHaveRun;

	/**
	 * Number of attempts on which the target closed the connection before the complete
	 * response.
	 */
	private int abortedAttempts;

	/** Whether the caller has left and the request need not run. */
	private volatile boolean abandoned;

	/** The call of the latest attempt; null before the first. */
	private volatile CallClient.PendingCall pendingCall;

	/** Receives the outcome of the latest attempt; null before the first. */
	private volatile OnceConsumer<CallOutcome> currentAttempt;

	/**
	 * Sends the reply at the deadline unless one was sent before; null before the start.
	 */
	private Timeout deadlineTimer;

	/**
	 * Sends a late reply to the caller; null for an idempotent operation or if
	 * {@code lateAfterMillis} is not before the deadline.
	 */
	private Timeout lateTimer;

	EntryCall(EntryService entry, Snapshot snapshot, Route route, CallerRequest request,
			Consumer<EntryReply> callback) {
		this.entry = entry;
		this.snapshot = snapshot;
		this.route = route;
		this.request = request;
		this.callback = new OnceConsumer<>(callback);
		int deadlineMillis = route.operation().deadlineMillis();
		this.deadlineAt = entry.now() + request.timeoutMillis()
			.map((requestedMillis) -> Math.min(requestedMillis, deadlineMillis))
			.orElse(deadlineMillis);
	}

	void start() {
		if (this.callback.isDone()) {
			return;
		}
		this.deadlineTimer = this.entry.schedule(remainingMillis(), this::deadlinePassed);
		this.entry.budget().recordRequest();
		if (!isAtMostOnce()) {
			startAttempt();
			return;
		}
		Operation operation = this.route.operation();
		if (operation.lateAfterMillis() < remainingMillis()) {
			this.lateTimer = this.entry.schedule(operation.lateAfterMillis(),
					() -> sendReply(new CallOutcome.Late(OUTCOME_POLL_MILLIS)));
		}
		Ticket ticket = this.request.ticket().get();
		send(ticket.home(), ticket.address());
	}

	private void startAttempt() {
		if (this.abandoned) {
			return;
		}
		Optional<Vm> vm = this.entry.selectTarget(this.route.service(), this.triedVms);
		if (vm.isEmpty()) {
			sendReply(new CallOutcome.NotRun(Reason.NO_TARGET, RETRY_AFTER_MILLIS));
			return;
		}
		send(vm.get().name(), vm.get().address());
	}

	private void send(String vm, InetSocketAddress address) {
		int remaining = (int) remainingMillis();
		if (remaining <= 0) {
			sendReply(OutcomeClaim.refused(Reason.DEADLINE_PASSED, 0, isAtMostOnce(), this.request.firstAttempt()));
			return;
		}
		this.triedVms.add(vm);
		this.entry.requestSent(vm);
		long sentAt = this.entry.now();
		OnceConsumer<CallOutcome> attemptCallback = new OnceConsumer<>((outcome) -> attemptEnded(vm, sentAt, outcome));
		this.currentAttempt = attemptCallback;
		this.pendingCall = this.entry.send(vm, address,
				(call) -> new CallMessage.Request(call, this.request.requestId(), this.request.route(), remaining,
						this.request.ticket().filter((ticket) -> isAtMostOnce()), this.request.fingerprint(),
						this.request.headers(), this.request.body(), this.snapshot.version().revision()),
				new AttemptCallback(attemptCallback));
		if (this.abandoned) {
			this.pendingCall.cancel();
		}
	}

	private void attemptEnded(String vm, long sentAt, CallOutcome outcome) {
		if (this.abandoned) {
			this.entry.requestAbandoned(vm);
			return;
		}
		this.entry.requestEnded(vm, outcome, this.entry.now() - sentAt);
		if (this.callback.isDone()) {
			this.deadlineTimer.cancel();
			return;
		}
		this.mayHaveRun |= outcome instanceof CallOutcome.Unknown;
		if (outcome instanceof CallOutcome.Unknown unknown && unknown.reason() == Reason.ANSWER_LOST) {
			this.abortedAttempts++;
		}
		boolean timeLeft = remainingMillis() > 0 && !this.entry.context().work().isTimeOver();
		boolean retry = timeLeft && RetryPolicy.tryAcquireRetry(this.route.operation().kind(), outcome,
				this.triedVms.size(), this.abortedAttempts, this.entry.budget());
		if (retry) {
			this.entry.context().metrics().countRetry();
			startAttempt();
			return;
		}
		sendReply(outcome);
	}

	/**
	 * Sends the last reply, because the node's time to stop is over. Says that this call
	 * has not run the request only if its attempt has certainly not left this process.
	 */
	void timeOver() {
		CallClient.PendingCall call = this.pendingCall;
		boolean notSent = call != null && call.cancel();
		sendReply(notSent
				? OutcomeClaim.refused(Reason.LEAVING, RETRY_AFTER_MILLIS, isAtMostOnce(), this.request.firstAttempt())
				: new CallOutcome.Unknown(Reason.LEAVING));
	}

	/**
	 * Ends the request, because its caller has left, and cancels the attempt in progress.
	 * An at-most-once request continues, because its caller can query the outcome.
	 */
	void callerLeft() {
		if (isAtMostOnce() || this.callback.isDone()) {
			return;
		}
		this.abandoned = true;
		CallOutcome outcome = new CallOutcome.Unknown(Reason.CANCELLED);
		cancelTimers();
		// It does not count against the objective, as nobody waits any more.
		this.entry.context()
			.metrics()
			.countRequest(this.route.service().name(), this.route.operation().name(), outcome);
		accept(outcome);
		OnceConsumer<CallOutcome> unfinishedAttempt = this.currentAttempt;
		if (unfinishedAttempt != null) {
			unfinishedAttempt.accept(outcome);
		}
		CallClient.PendingCall call = this.pendingCall;
		if (call != null) {
			call.cancel();
		}
	}

	private void deadlinePassed() {
		this.mayHaveRun = true;
		sendReply(new CallOutcome.Unknown(Reason.DEADLINE_PASSED));
		CallClient.PendingCall call = this.pendingCall;
		if (call != null && !isAtMostOnce()) {
			call.cancel();
		}
		OnceConsumer<CallOutcome> unfinishedAttempt = this.currentAttempt;
		if (unfinishedAttempt != null) {
			unfinishedAttempt.accept(new CallOutcome.Unknown(Reason.DEADLINE_PASSED));
		}
	}

	private void sendReply(CallOutcome outcome) {
		if (!(outcome instanceof CallOutcome.Late)) {
			cancelTimers();
		}
		else if (this.lateTimer != null) {
			this.lateTimer.cancel();
		}
		CallOutcome reconciled = OutcomeClaim.reconcile(outcome, isAtMostOnce(), this.request.firstAttempt(),
				this.mayHaveRun);
		if (!this.callback.isDone()) {
			this.entry.context()
				.metrics()
				.countRequest(this.route.service().name(), this.route.operation().name(), reconciled);
			this.entry.context().objectives().record(this.request.route(), reconciled);
		}
		accept(reconciled);
	}

	private void accept(CallOutcome outcome) {
		this.callback.accept(new EntryReply.WithOutcome(outcome,
				this.request.ticket().filter((ticket) -> isAtMostOnce()), this.snapshot.version().revision()));
	}

	private void cancelTimers() {
		if (this.deadlineTimer != null) {
			this.deadlineTimer.cancel();
		}
		if (this.lateTimer != null) {
			this.lateTimer.cancel();
		}
	}

	private boolean isAtMostOnce() {
		return this.route.operation().kind() == OperationKind.AT_MOST_ONCE;
	}

	private long remainingMillis() {
		return this.deadlineAt - this.entry.now();
	}

	/**
	 * Converts the result of one attempt into an outcome.
	 *
	 * @param callback receives the outcome
	 */
	private record AttemptCallback(Consumer<CallOutcome> callback) implements CallClient.Callback {

		@Override
		public void replied(CallMessage message) {
			this.callback.accept((message instanceof CallMessage.Reply answer) ? answer.outcome()
					: new CallOutcome.Unknown(Reason.ANSWER_LOST));
		}

		@Override
		public void failed(CallOutcome outcome) {
			this.callback.accept(outcome);
		}

	}

}
