package org.eelgrasspitch.proxy;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.eelgrasspitch.mesh.NestedCallRates;
import org.eelgrasspitch.mesh.StartPacer;
import org.eelgrasspitch.mesh.StopSequence;
import org.eelgrasspitch.mesh.TargetDirectory;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.mesh.TargetLoad;
import org.eelgrasspitch.mesh.TargetQueue;
import org.eelgrasspitch.mesh.TargetQueue.Decision;
import org.eelgrasspitch.mesh.TargetQueue.Job;
import org.eelgrasspitch.mesh.TargetStatements;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.proxy.ProxyMetrics.Outcome;
import org.eelgrasspitch.proxy.TargetConnector.Suspect;

/**
 * The home of the target on this VM. All requests for the target pass through it, so it
 * knows exactly how many run, and the target itself never queues.
 * <p>
 * A call waits in {@link TargetQueue} until a slot is free and is then written to a
 * connection that it does not share. A call that is refused before that write has
 * certainly not run. While {@link TargetConnector} finds the target down, its calls are
 * refused at once.
 */
final class HomeService {

	/** Slots assumed until the target's entry is published. */
	private static final int DEFAULT_SLOTS = 4;

	/** Interval of the check for waiting calls that cannot be served in time any more. */
	private static final long QUEUE_CHECK_INTERVAL_MILLIS = 50;

	/** Retry time given to callers of a target that is down, leaving or replaced. */
	private static final int UNAVAILABLE_RETRY_AFTER_MILLIS = 500;

	/**
	 * Time for which a call may run past its deadline. Targets end their work at the
	 * deadline, so one that has not responded by then never will.
	 */
	private static final long OVERDUE_GRACE_MILLIS = 1_000;

	/** Interval of the check for running calls that are overdue. */
	private static final long OVERDUE_CHECK_INTERVAL_MILLIS = 500;

	private final ProxyContext context;

	private final TargetQueue<HomeCall> queue;

	private final TargetConnector connector;

	private final QuarantineKeeper quarantine;

	private final TargetOutcomes outcomes = new TargetOutcomes();

	/** Directory entry of the target; null until one is published. */
	private TargetEntry targetEntry;

	/**
	 * Identifier of the target that last rejected a call as misdirected, until another
	 * target or a restart is published; empty if none did or the response named none.
	 */
	private String actualTarget = "";

	private int slots = DEFAULT_SLOTS;

	private final TargetCondition condition;

	/** Whether this node is about to stop. */
	private boolean leaving;

	/** Calls not ended that were sent to the target or wait for a connection to it. */
	private final RunningCalls running = new RunningCalls();

	private final HomeStop stop = new HomeStop(this.outcomes, this.running);

	private boolean queueCheckScheduled;

	private Runnable stateListener = () -> {
	};

	private final NestedCallRates nestedCallRates = new NestedCallRates();

	/** Returns whether one more retried call may run at the target. */
	private BooleanSupplier retryPermission = () -> true;

	HomeService(ProxyContext context, QuarantineKeeper quarantine) {
		this.context = context;
		this.queue = new TargetQueue<>(new StartPacer(context.settings().settleMillis()));
		this.connector = new TargetConnector(context, this);
		this.quarantine = quarantine;
		this.condition = new TargetCondition(context, this::applyLimit, this::stateChanged, this::refuseWaiting);
		context.watch().start();
		context.loop()
			.scheduleAtFixedRate(this::failOverdue, OVERDUE_CHECK_INTERVAL_MILLIS, OVERDUE_CHECK_INTERVAL_MILLIS,
					TimeUnit.MILLISECONDS);
	}

	void onStateChange(Runnable listener) {
		this.stateListener = listener;
	}

	void setRetryPermission(BooleanSupplier permission) {
		this.retryPermission = permission;
	}

	NestedCallRates nestedCallRates() {
		return this.nestedCallRates;
	}

	/**
	 * Applies a new directory. A target missing from it keeps its entry and is drained.
	 * @param directory the published targets
	 */
	void updateDirectory(TargetDirectory directory) {
		Optional<TargetEntry> own = directory.findByAddress(this.context.settings().service(),
				this.context.settings().targetAddress());
		own.filter(this::isOtherStart).ifPresent((published) -> targetReplaced());
		if (own.isPresent() || this.targetEntry != null) {
			this.condition.updateAvailability(own.filter((published) -> !published.draining()).isPresent());
		}
		if (own.isEmpty()) {
			return;
		}
		this.targetEntry = own.get();
		this.slots = this.targetEntry.slots();
	}

	private boolean isOtherStart(TargetEntry published) {
		return this.targetEntry == null || !this.targetEntry.id().equals(published.id())
				|| this.targetEntry.startUnixMillis() != published.startUnixMillis();
	}

	private void targetReplaced() {
		this.outcomes.targetReplaced();
		this.actualTarget = "";
		this.connector.closeIdle();
		if (this.targetEntry != null) {
			this.condition.reset();
		}
	}

	/**
	 * Refuses the waiting calls, and those whose entry nodes permit the start later,
	 * because this node is about to close.
	 */
	void refuseUnstarted() {
		this.stop.beginClosing();
		refuseWaiting();
	}

	/**
	 * Refuses the waiting calls of a leaving target; other targets can serve them.
	 */
	private void refuseWaiting() {
		this.queue.removeAll().forEach((call) -> refuse(call, FailureReason.LEAVING, UNAVAILABLE_RETRY_AFTER_MILLIS));
		this.stateListener.run();
	}

	TargetLoad load() {
		return new TargetLoad(state(), this.queue.running(), this.queue.waiting(), this.slots,
				(int) this.queue.waitMillis(this.slots, now()), this.outcomes.serviceMillis(),
				this.outcomes.failurePercent(), this.condition.limitPerSecond());
	}

	/**
	 * Returns the load that is reported to other nodes.
	 * @return the load, with the time that a message to this node waits
	 */
	TargetLoad reportedLoad() {
		return load().delayedBy(this.context.watch().delayMillis());
	}

	RunningCalls runningCalls() {
		return this.running;
	}

	int callsInProgress() {
		return this.queue.running() + this.queue.waiting();
	}

	/**
	 * Logs the calls that are cut off because this node closes its connections.
	 */
	void close() {
		this.connector.close();
		this.running.logCut(now());
	}

	/**
	 * Begins the stop of this node. Calls that cannot be served before its end are
	 * refused at once.
	 * @param begun the stop
	 */
	void beginStop(StopSequence begun) {
		this.queue.setEnd(begun.answersAtMillis());
		this.stop.begin(begun);
	}

	/**
	 * Refuses new calls before this node stops. Waiting and running calls continue.
	 */
	void leave() {
		if (!this.leaving) {
			this.leaving = true;
			this.stateListener.run();
		}
	}

	/**
	 * Submits a call; it starts, waits or is refused.
	 * @param head the call
	 * @param entryVm name of the entry node's VM
	 * @param listener receives the response
	 * @return handle that receives the rest of the call
	 */
	CallHandle submit(CallHead head, String entryVm, CallListener listener) {
		if (this.targetEntry == null || this.targetEntry.id().equals(head.target())) {
			this.condition.adoptLimit(head.targetLimitPerSecond());
		}
		HomeCall call = new HomeCall(this, head, listener, new CallLog(this.context.log(), head, entryVm), now());
		if (this.leaving || this.condition.isDrained() || this.stop.isOutlasted(head, now())) {
			refuse(call, FailureReason.LEAVING, UNAVAILABLE_RETRY_AFTER_MILLIS);
			return call;
		}
		if (this.connector.isDown()) {
			refuse(call, FailureReason.TARGET_DOWN, UNAVAILABLE_RETRY_AFTER_MILLIS);
			return call;
		}
		if (!this.actualTarget.isEmpty() && !this.actualTarget.equals(head.target())) {
			refuse(call, FailureReason.WRONG_TARGET, UNAVAILABLE_RETRY_AFTER_MILLIS);
			return call;
		}
		if (this.quarantine.isQuarantined(call::fingerprint)) {
			refuse(call, FailureReason.QUARANTINED, QuarantineKeeper.RETRY_AFTER_MILLIS);
			return call;
		}
		if (head.retry() && !this.retryPermission.getAsBoolean()) {
			refuse(call, FailureReason.RETRY_BUDGET, UNAVAILABLE_RETRY_AFTER_MILLIS);
			return call;
		}
		applyDecision(this.queue.offer(new Job<>(call, head.rank(), head.objectiveAtMillis(), head.deadlineAtMillis(),
				this.outcomes.expectedMillis(head.route(), now())), this.slots, now()));
		this.queue.position(call, this.slots, now())
			.ifPresent((position) -> call.log().queued(position, load(), now()));
		return call;
	}

	/**
	 * Handles the cancellation of a call by its entry node.
	 * @param call the call
	 * @param endsRunning whether a call that was sent to the target is aborted; otherwise
	 * the target finishes it, except for a response that has not ended at the deadline
	 */
	void cancelled(HomeCall call, boolean endsRunning) {
		if (call.isEnded()) {
			return;
		}
		if (call.hasStopped(now())) {
			breakOff(call, FailureReason.TARGET_SILENT);
			return;
		}
		this.context.metrics().callEnded(Outcome.CANCELLED);
		call.log().cancelled(call.loggedState(), now() - call.receivedAtMillis());
		if (call.isWaiting()) {
			this.queue.remove(call);
			call.end();
			return;
		}
		if (call.isClaimed()) {
			call.end();
			releaseSlot();
			return;
		}
		if (endsRunning && call.connection() != null) {
			TargetConnection connection = call.connection();
			call.end();
			connection.abort();
			removeRunning(call);
		}
	}

	/**
	 * Handles a complete response of the target.
	 * @param call the call
	 * @param succeeded whether the target served it; false if the status is 500 or above
	 */
	void responseCompleted(HomeCall call, boolean succeeded) {
		call.log()
			.done(succeeded, call.claimedAtMillis() - call.receivedAtMillis(), now() - call.claimedAtMillis(), now());
		recordOutcome(call, succeeded);
	}

	/**
	 * Handles the end of a call without a complete response of the target.
	 * @param call the call
	 * @param reason why it ended
	 * @param mayHaveRun whether the target may have started to run the call
	 */
	void failed(HomeCall call, FailureReason reason, boolean mayHaveRun) {
		call.log()
			.failed(reason, mayHaveRun, call.claimedAtMillis() - call.receivedAtMillis(),
					now() - call.claimedAtMillis());
		call.failed(new CallFailure(reason, true, mayHaveRun, 0, reportedLoad()));
		// That another target has the address says nothing about the health of this one.
		recordOutcome(call, reason == FailureReason.WRONG_TARGET);
	}

	private void recordOutcome(HomeCall call, boolean succeeded) {
		long serviceMillis = this.context.now() - call.claimedAtMillis();
		this.context.metrics().recordTargetTime(serviceMillis);
		this.context.metrics().callEnded(succeeded ? Outcome.ANSWERED : Outcome.FAILED);
		this.outcomes.record(call.head().route(), serviceMillis, succeeded, now());
		removeRunning(call);
	}

	/**
	 * Records which target responded in place of the expected one.
	 * @param target its identifier; empty if the response does not name it
	 */
	void recordActualTarget(String target) {
		this.actualTarget = target;
	}

	private void applyLimit(TargetStatements statements) {
		this.queue.setLimit(statements.limitPerSecond(), statements.limitNamedAfterMillis(), now());
	}

	TargetCondition condition() {
		return this.condition;
	}

	ProxyContext context() {
		return this.context;
	}

	HeaderNames headerNames() {
		return this.context.names();
	}

	long now() {
		return this.context.now();
	}

	/**
	 * Handles the end of calls that a living target broke off.
	 * @param calls the calls; those that have ended meanwhile are ignored
	 */
	void callsBroken(List<Suspect> calls) {
		calls.forEach((suspect) -> failUnlessEnded(suspect.call(), FailureReason.TARGET_BROKE_OFF));
	}

	/**
	 * Handles the end of calls under which the target crashed. Peers are notified first,
	 * so that entry nodes know of the crash when they decide on retries.
	 * @param calls the calls; those that have ended meanwhile are only reported
	 * @param crashNumber distinguishes this crash from others of the target
	 */
	void targetCrashed(List<Suspect> calls, long crashNumber) {
		List<Digest> fingerprints = calls.stream().flatMap((suspect) -> suspect.fingerprint().stream()).toList();
		this.quarantine.targetCrashed(fingerprints,
				new TargetCrash(calls.getFirst().call().head().target(), crashNumber));
		calls.forEach((suspect) -> failUnlessEnded(suspect.call(), FailureReason.TARGET_CRASHED));
	}

	private void failUnlessEnded(HomeCall call, FailureReason reason) {
		if (!call.isEnded()) {
			failed(call, reason, true);
		}
	}

	void stateChanged() {
		this.stateListener.run();
	}

	private TargetLoad.State state() {
		if (this.leaving || this.condition.isLeaving()) {
			return TargetLoad.State.LEAVING;
		}
		return this.connector.isDown() ? TargetLoad.State.DOWN : TargetLoad.State.UP;
	}

	private void removeRunning(HomeCall call) {
		this.running.remove(call);
		releaseSlot();
	}

	private void releaseSlot() {
		applyDecision(this.queue.release(this.slots, this.context.now()));
	}

	/**
	 * Fails the calls that the target will never respond to and releases their slots.
	 */
	private void failOverdue() {
		this.running.due(now() - OVERDUE_GRACE_MILLIS).forEach((call) -> breakOff(call, FailureReason.TARGET_SILENT));
	}

	private void breakOff(HomeCall call, FailureReason reason) {
		call.connection().abort();
		failed(call, reason, true);
	}

	/**
	 * Ends a call whose response nobody waits for and whose body does not end.
	 * @param call the call
	 */
	void abandonedTooLong(HomeCall call) {
		breakOff(call, FailureReason.TARGET_GARBLED);
	}

	private void applyDecision(Decision<HomeCall> decision) {
		decision.refused()
			.forEach((refused) -> refuse(refused.work(), FailureReason.OVERLOADED, (int) refused.retryAfterMillis()));
		decision.started().forEach(this::start);
		if (this.queue.waiting() > 0 && !this.queueCheckScheduled) {
			this.queueCheckScheduled = true;
			this.context.loop().schedule(this::checkQueue, QUEUE_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void checkQueue() {
		this.queueCheckScheduled = false;
		applyDecision(this.queue.schedule(this.slots, this.context.now()));
	}

	private void refuse(HomeCall call, FailureReason reason, int retryAfterMillis) {
		this.context.metrics().callEnded(Outcome.REFUSED);
		call.log().refused(reason, load(), retryAfterMillis, now());
		call.failed(CallFailure.notSent(reason, retryAfterMillis, reportedLoad()));
	}

	private void start(HomeCall call) {
		if (this.quarantine.isQuarantined(call::fingerprint)) {
			refuse(call, FailureReason.QUARANTINED, QuarantineKeeper.RETRY_AFTER_MILLIS);
			releaseSlot();
			return;
		}
		call.claim(now());
	}

	/**
	 * Runs an action once all messages that have been received so far are handled.
	 * @param action the action
	 */
	void afterReceived(Runnable action) {
		this.context.loop().execute(action);
	}

	/**
	 * Sends a call that has a slot to the target.
	 * @param call the call
	 */
	void startPermitted(HomeCall call) {
		Optional<FailureReason> obstacle = startObstacle(call);
		if (obstacle.isPresent()) {
			refuse(call, obstacle.get(), UNAVAILABLE_RETRY_AFTER_MILLIS);
			releaseSlot();
			return;
		}
		this.running.add(call);
		this.nestedCallRates.recordRun();
		this.context.metrics().callStarted(now() - call.receivedAtMillis());
		this.connector.obtain(call.head(), (connection) -> connected(call, connection.orElse(null)));
	}

	/**
	 * Returns why a call that has got a slot must not be sent to the target any more.
	 */
	private Optional<FailureReason> startObstacle(HomeCall call) {
		return this.condition.isDrained() ? Optional.of(FailureReason.LEAVING) : this.stop.obstacle(call.head(), now());
	}

	private void connected(HomeCall call, TargetConnection connection) {
		call.cancelIfUnawaited();
		Optional<FailureReason> obstacle = startObstacle(call)
			.or(() -> (connection != null) ? Optional.empty() : Optional.of(FailureReason.TARGET_DOWN));
		if (obstacle.isPresent() && !call.isEnded()) {
			refuse(call, obstacle.get(), UNAVAILABLE_RETRY_AFTER_MILLIS);
		}
		if (call.isEnded() || call.isAbandoned()) {
			call.end();
			Optional.ofNullable(connection).ifPresent(TargetConnection::release);
			removeRunning(call);
			return;
		}
		connection.send(call);
	}

}
