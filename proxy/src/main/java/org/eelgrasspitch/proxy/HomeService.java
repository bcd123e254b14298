package org.eelgrasspitch.proxy;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import org.eelgrasspitch.mesh.NestedCallRates;
import org.eelgrasspitch.mesh.ServiceTimes;
import org.eelgrasspitch.mesh.TargetDirectory;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.mesh.TargetLoad;
import org.eelgrasspitch.mesh.TargetQueue;
import org.eelgrasspitch.mesh.TargetQueue.Decision;
import org.eelgrasspitch.mesh.TargetQueue.Job;
import org.eelgrasspitch.proxy.ProxyMetrics.Outcome;

/**
 * The home of the target on this VM. All requests for the target pass through it, so it
 * knows exactly how many run, and the target itself never queues.
 * <p>
 * A call waits in {@link TargetQueue} until a slot is free and is then written to a
 * connection that it does not share. A call that is refused before that write has
 * certainly not run. A target that accepts no connections is down: its calls are refused
 * at once, and the home tries again to connect {@link #RECONNECT_DELAY_MILLIS} after each
 * failed attempt until one succeeds.
 */
final class HomeService {

	/** Slots assumed until the target's entry is published. */
	private static final int DEFAULT_SLOTS = 4;

	/** Interval of the check for waiting calls that cannot be served in time any more. */
	private static final long QUEUE_CHECK_INTERVAL_MILLIS = 50;

	/** Delay before each connection attempt to a target that is down. */
	private static final long RECONNECT_DELAY_MILLIS = 400;

	/** Timeout of a connection attempt to the target, which is on this VM. */
	private static final int CONNECT_TIMEOUT_MILLIS = Bootstraps.CONNECT_TIMEOUT_MILLIS;

	/** Timeout of the connection attempt that shows whether a target is still alive. */
	private static final int CRASH_PROBE_TIMEOUT_MILLIS = 200;

	/** Retry time given to callers of a target that is down, leaving or replaced. */
	private static final int UNAVAILABLE_RETRY_AFTER_MILLIS = 500;

	/**
	 * Time for which a call may run past its deadline. Targets end their work at the
	 * deadline, so one that has not responded by then never will.
	 */
	private static final long OVERDUE_GRACE_MILLIS = 1_000;

	/** Interval of the check for running calls that are overdue. */
	private static final long OVERDUE_CHECK_INTERVAL_MILLIS = 500;

	/** Weight of a new outcome in the moving average of failures. */
	private static final double FAILURE_SMOOTHING_FACTOR = 0.08;

	private static final int PERCENT = 100;

	private final ProxyContext context;

	private final Bootstrap bootstrap;

	private final TargetQueue<HomeCall> queue = new TargetQueue<>();

	/** Open connections to the target, idle or in use. */
	private final Set<TargetConnection> openConnections = new HashSet<>();

	private final ServiceTimes serviceTimes = new ServiceTimes();

	private final IdleConnections idleConnections = new IdleConnections();

	/** Directory entry of the target; null until one is published. */
	private TargetEntry targetEntry;

	/**
	 * Identifier of the target that last rejected a call as misdirected, until another
	 * target or a restart is published; empty if none did or the response named none.
	 */
	private String actualTarget = "";

	private int slots = DEFAULT_SLOTS;

	private boolean targetDown;

	/** Whether this node is about to stop. */
	private boolean leaving;

	private final DrainTimer drainTimer;

	/** Moving average of the share of failed calls, 0 to 1, since the target's start. */
	private double failureShare;

	/** Calls not ended that were sent to the target or wait for a connection to it. */
	private final Set<HomeCall> running = new HashSet<>();

	private boolean queueCheckScheduled;

	private Runnable stateListener = () -> {
	};

	private final NestedCallRates nestedCallRates = new NestedCallRates();

	/** Returns whether one more retried call may run at the target. */
	private BooleanSupplier retryPermission = () -> true;

	HomeService(ProxyContext context) {
		this.context = context;
		this.bootstrap = Bootstraps.client(context.loop());
		this.drainTimer = new DrainTimer(context.loop(), this::refuseWaiting);
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
		if (own.isPresent() || this.targetEntry != null) {
			this.drainTimer.updateAvailability(own.filter((published) -> !published.draining()).isPresent());
		}
		if (own.isEmpty()) {
			return;
		}
		if (this.targetEntry == null || !this.targetEntry.id().equals(own.get().id())
				|| this.targetEntry.startUnixMillis() != own.get().startUnixMillis()) {
			this.failureShare = 0;
			this.actualTarget = "";
			this.idleConnections.closeAll();
		}
		this.targetEntry = own.get();
		this.slots = this.targetEntry.slots();
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
				(int) this.queue.waitMillis(this.slots), (int) this.serviceTimes.overallMillis(),
				(int) (this.failureShare * PERCENT));
	}

	/**
	 * Returns whether the target runs a request.
	 * @param requestId identifier of the request
	 * @return true from its start to its end
	 */
	boolean isRunning(String requestId) {
		return this.running.stream().anyMatch((call) -> call.head().requestId().equals(requestId));
	}

	/**
	 * Returns whether the target runs a request that is marked as a retry; see
	 * {@link CallHead#retry()}.
	 * @param requestId identifier of the request
	 * @return true from its start to its end
	 */
	boolean isRunningRetry(String requestId) {
		return this.running.stream()
			.anyMatch((call) -> call.head().retry() && call.head().requestId().equals(requestId));
	}

	int callsInProgress() {
		return this.queue.running() + this.queue.waiting();
	}

	/**
	 * Refuses new calls before this node stops. Waiting and running calls continue.
	 */
	void leave() {
		this.leaving = true;
		this.stateListener.run();
	}

	/**
	 * Submits a call; it starts, waits or is refused.
	 * @param head the call
	 * @param entryVm name of the entry node's VM
	 * @param listener receives the response
	 * @return handle that receives the rest of the call
	 */
	CallHandle submit(CallHead head, String entryVm, CallListener listener) {
		HomeCall call = new HomeCall(this, head, listener, new CallLog(this.context.log(), head, entryVm), now());
		if (this.leaving || this.drainTimer.isExpired()) {
			refuse(call, FailureReason.LEAVING, UNAVAILABLE_RETRY_AFTER_MILLIS);
			return call;
		}
		if (this.targetDown) {
			refuse(call, FailureReason.TARGET_DOWN, UNAVAILABLE_RETRY_AFTER_MILLIS);
			return call;
		}
		if (!this.actualTarget.isEmpty() && !this.actualTarget.equals(head.target())) {
			refuse(call, FailureReason.WRONG_TARGET, UNAVAILABLE_RETRY_AFTER_MILLIS);
			return call;
		}
		if (head.retry() && !this.retryPermission.getAsBoolean()) {
			refuse(call, FailureReason.RETRY_BUDGET, UNAVAILABLE_RETRY_AFTER_MILLIS);
			return call;
		}
		applyDecision(this.queue.offer(new Job<>(call, head.rank(), head.objectiveAtMillis(), head.deadlineAtMillis(),
				this.serviceTimes.expectedMillis(head.route(), now())), this.slots, now()));
		this.queue.position(call, this.slots).ifPresent((position) -> call.log().queued(position, load(), now()));
		return call;
	}

	/**
	 * Handles the cancellation of a call by its entry node.
	 * @param call the call
	 * @param endsRunning whether the call is aborted if it was sent to the target;
	 * otherwise the target finishes it. A call that is not sent yet is dropped.
	 */
	void cancelled(HomeCall call, boolean endsRunning) {
		if (call.isEnded()) {
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
		call.failed(new CallFailure(reason, true, mayHaveRun, 0, load()));
		// That another target has the address says nothing about the health of this one.
		recordOutcome(call, reason == FailureReason.WRONG_TARGET);
	}

	private void recordOutcome(HomeCall call, boolean succeeded) {
		long serviceMillis = this.context.now() - call.claimedAtMillis();
		this.context.metrics().recordTargetTime(serviceMillis);
		this.context.metrics().callEnded(succeeded ? Outcome.ANSWERED : Outcome.FAILED);
		if (succeeded) {
			this.serviceTimes.observe(call.head().route(), serviceMillis, this.context.now());
		}
		this.failureShare += FAILURE_SMOOTHING_FACTOR * ((succeeded ? 0 : 1) - this.failureShare);
		removeRunning(call);
	}

	/**
	 * Records which target responded in place of the expected one.
	 * @param target its identifier; empty if the response does not name it
	 */
	void recordActualTarget(String target) {
		this.actualTarget = target;
	}

	void addIdle(TargetConnection connection) {
		this.idleConnections.add(connection);
	}

	void connectionOpened(TargetConnection connection) {
		this.openConnections.add(connection);
	}

	void connectionClosed(TargetConnection connection) {
		this.openConnections.remove(connection);
		this.idleConnections.remove(connection);
	}

	HeaderNames headerNames() {
		return this.context.names();
	}

	long now() {
		return this.context.now();
	}

	/**
	 * Handles a connection that the target closed during a call. If no connection to the
	 * target is left, the home checks whether the target is still alive before it tells
	 * the entry node, because a request that crashes its target must not be sent to many
	 * others.
	 * @param call the call
	 */
	void connectionBroken(HomeCall call) {
		if (!this.openConnections.isEmpty() || this.targetDown) {
			failed(call, this.targetDown ? FailureReason.TARGET_CRASHED : FailureReason.TARGET_BROKE_OFF, true);
			return;
		}
		connect(CRASH_PROBE_TIMEOUT_MILLIS, (connection) -> {
			connection.ifPresentOrElse(TargetConnection::release, this::markDown);
			failed(call, connection.isPresent() ? FailureReason.TARGET_BROKE_OFF : FailureReason.TARGET_CRASHED, true);
		});
	}

	private TargetLoad.State state() {
		if (this.leaving || this.drainTimer.isExpired()) {
			return TargetLoad.State.LEAVING;
		}
		return this.targetDown ? TargetLoad.State.DOWN : TargetLoad.State.UP;
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
		long overdueBefore = now() - OVERDUE_GRACE_MILLIS;
		for (HomeCall call : List.copyOf(this.running)) {
			if (call.head().deadlineAtMillis() < overdueBefore && call.connection() != null) {
				call.connection().abort();
				failed(call, FailureReason.TARGET_SILENT, true);
			}
		}
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
		call.failed(CallFailure.notSent(reason, retryAfterMillis, load()));
	}

	private void start(HomeCall call) {
		if (call.claim(now())) {
			startPermitted(call);
		}
	}

	/**
	 * Sends a call that has a slot to the target.
	 * @param call the call
	 */
	void startPermitted(HomeCall call) {
		this.running.add(call);
		this.nestedCallRates.recordRun();
		this.context.metrics().callStarted(now() - call.receivedAtMillis());
		TargetConnection connection = this.idleConnections.take(call.head().idempotent(), now());
		if (connection != null) {
			connection.send(call);
			return;
		}
		connect(CONNECT_TIMEOUT_MILLIS, (opened) -> connected(call, opened.orElse(null)));
	}

	private void connect(int timeoutMillis, Consumer<Optional<TargetConnection>> done) {
		this.bootstrap.clone()
			.handler(TargetConnection.initializer(this))
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
			.connect(this.context.settings().targetAddress())
			.addListener((ChannelFuture future) -> done.accept(Optional.of(future)
				.filter(ChannelFuture::isSuccess)
				.map((opened) -> opened.channel().pipeline().get(TargetConnection.class))));
	}

	private void connected(HomeCall call, TargetConnection connection) {
		if (connection == null) {
			markDown();
			if (!call.isEnded()) {
				refuse(call, FailureReason.TARGET_DOWN, UNAVAILABLE_RETRY_AFTER_MILLIS);
			}
			removeRunning(call);
			return;
		}
		if (call.isEnded() || call.isAbandoned()) {
			call.end();
			connection.release();
			removeRunning(call);
			return;
		}
		connection.send(call);
	}

	private void markDown() {
		if (this.targetDown) {
			return;
		}
		this.targetDown = true;
		this.context.log().logNodeEvent(LogEvent.TARGET_DOWN, "address", this.context.settings().targetAddress());
		this.idleConnections.closeAll();
		this.stateListener.run();
		scheduleProbe();
	}

	private void scheduleProbe() {
		this.context.loop().schedule(this::probeTarget, RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void probeTarget() {
		connect(CONNECT_TIMEOUT_MILLIS, (opened) -> opened.ifPresentOrElse(this::markUp, this::scheduleProbe));
	}

	private void markUp(TargetConnection connection) {
		this.targetDown = false;
		this.context.log().logNodeEvent(LogEvent.TARGET_UP, "address", this.context.settings().targetAddress());
		connection.release();
		this.stateListener.run();
	}

}
