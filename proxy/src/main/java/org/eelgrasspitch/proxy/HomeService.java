package org.eelgrasspitch.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import org.eelgrasspitch.mesh.ServiceTimes;
import org.eelgrasspitch.mesh.TargetDirectory;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.mesh.TargetLoad;
import org.eelgrasspitch.mesh.TargetQueue;
import org.eelgrasspitch.mesh.TargetQueue.Decision;
import org.eelgrasspitch.mesh.TargetQueue.Job;
import org.eelgrasspitch.proxy.ProxyMetrics.Outcome;

/**
 * The home of the target on this VM. Every request for the target passes here, so the
 * home knows exactly how many run and lets the target itself never queue.
 * <p>
 * A call waits in {@link TargetQueue} until a slot is free, and is then written to a
 * connection of its own. Until that write a refusal is certainly true. A target that
 * cannot be connected to is down: its calls are refused at once, and the home tries a
 * connection every {@link #RECONNECT_INTERVAL_MILLIS} until one succeeds.
 */
final class HomeService {

	/** Slots assumed while the target has not published any. */
	private static final int DEFAULT_SLOTS = 4;

	/** How often the queue is looked at for requests that ran out of time. */
	private static final long QUEUE_CHECK_INTERVAL_MILLIS = 50;

	/** How often a target that is down is tried. */
	private static final long RECONNECT_INTERVAL_MILLIS = 400;

	/** How long to wait for a connection to the target, which is on this VM. */
	private static final int CONNECT_TIMEOUT_MILLIS = Bootstraps.CONNECT_TIMEOUT_MILLIS;

	/** How long to wait for the connection that shows whether a target lives. */
	private static final int CRASH_PROBE_TIMEOUT_MILLIS = 200;

	/** When a caller of a target that is down, or leaving, may come back. */
	private static final int UNAVAILABLE_RETRY_AFTER_MILLIS = 500;

	/**
	 * Longest time a connection may have been idle before it carries a request that must
	 * not run twice: far below any idle timeout, so the target is not just closing it.
	 */
	private static final long MAX_NON_IDEMPOTENT_IDLE_MILLIS = 1_000;

	/** Idle connections kept to the target. */
	private static final int MAX_IDLE_CONNECTIONS = 32;

	/**
	 * How long after its deadline a call may still run: targets end their work at the
	 * deadline, so one that has not answered by then never will.
	 */
	private static final long OVERDUE_GRACE_MILLIS = 1_000;

	/** How often calls that run are looked at. */
	private static final long OVERDUE_CHECK_INTERVAL_MILLIS = 500;

	/** Weight of one more outcome in the failure share. */
	private static final double FAILURE_SMOOTHING_FACTOR = 0.08;

	private static final int PERCENT = 100;

	private final ProxyContext context;

	private final Bootstrap bootstrap;

	private final TargetQueue<HomeCall> queue = new TargetQueue<>();

	/** Open connections to the target, idle or not. */
	private final Set<TargetConnection> openConnections = new HashSet<>();

	private final ServiceTimes serviceTimes = new ServiceTimes();

	/** Idle connections, the most recently used first. */
	private final Deque<TargetConnection> idleConnections = new ArrayDeque<>();

	/** The target's own entry; null while none is published. */
	private TargetEntry targetEntry;

	/**
	 * Identifier of the target that answered in place of another one; empty while the
	 * published one has not been contradicted.
	 */
	private String actualTarget = "";

	private int slots = DEFAULT_SLOTS;

	private boolean targetDown;

	/** Whether this node is about to stop. */
	private boolean leaving;

	private final DrainTimer drainTimer;

	private double failureShare;

	/** Calls that were given to the target and have not ended. */
	private final Set<HomeCall> running = new HashSet<>();

	private boolean queueCheckScheduled;

	private Runnable stateListener = () -> {
	};

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

	/**
	 * Takes over a new directory.
	 * @param directory the targets that exist
	 */
	void updateDirectory(TargetDirectory directory) {
		Optional<TargetEntry> own = directory.findByAddress(this.context.settings().service(),
				this.context.settings().targetAddress());
		if (own.isPresent() || this.targetEntry != null) {
			this.drainTimer.targetPublished(own.filter((published) -> !published.draining()).isPresent());
		}
		if (own.isEmpty()) {
			return;
		}
		if (this.targetEntry == null || !this.targetEntry.id().equals(own.get().id())
				|| this.targetEntry.startUnixMillis() != own.get().startUnixMillis()) {
			this.failureShare = 0;
			this.actualTarget = "";
			closeIdle();
		}
		this.targetEntry = own.get();
		this.slots = this.targetEntry.slots();
	}

	/**
	 * Refuses what still waits for a target that is leaving; it can be served elsewhere.
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
	 * Tells whether the target runs a request.
	 * @param requestId its identifier
	 * @return true from its start to its end
	 */
	boolean isRunning(String requestId) {
		return this.running.stream().anyMatch((call) -> call.head().requestId().equals(requestId));
	}

	/**
	 * Tells whether the target runs a request that another one has received before.
	 * @param requestId its identifier
	 * @return true from its start to its end
	 */
	boolean isRunningRetry(String requestId) {
		return this.running.stream()
			.anyMatch((call) -> call.head().retry() && call.head().requestId().equals(requestId));
	}

	int callsInProgress() {
		return this.queue.running() + this.queue.waiting();
	}

	void leave() {
		this.leaving = true;
		this.stateListener.run();
	}

	/**
	 * Takes a call.
	 * @param head the call
	 * @param entryVm name of the VM of the entry that placed it
	 * @param listener receives the answer
	 * @return where the rest of the call goes
	 */
	CallHandle accept(CallHead head, String entryVm, CallListener listener) {
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
		applyDecision(this.queue.offer(new Job<>(call, head.rank(), head.objectiveAtMillis(), head.deadlineAtMillis(),
				this.serviceTimes.expectedMillis(head.route(), now())), this.slots, now()));
		this.queue.position(call, this.slots).ifPresent((position) -> call.log().queued(position, load(), now()));
		return call;
	}

	/**
	 * The entry has given a call up.
	 * @param call the call
	 * @param endsRunning whether it is ended if it runs; otherwise the target finishes it
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
			callEnded(call);
		}
	}

	/**
	 * The target has answered a call.
	 * @param call the call
	 * @param succeeded whether the target served it
	 */
	void responseCompleted(HomeCall call, boolean succeeded) {
		call.log()
			.done(succeeded, call.startedAtMillis() - call.receivedAtMillis(), now() - call.startedAtMillis(), now());
		finished(call, succeeded);
	}

	/**
	 * The target has ended a call without an answer.
	 * @param call the call
	 * @param reason how
	 * @param mayHaveRun whether it may have begun to run the call
	 */
	void failed(HomeCall call, FailureReason reason, boolean mayHaveRun) {
		call.log()
			.failed(reason, mayHaveRun, call.startedAtMillis() - call.receivedAtMillis(),
					now() - call.startedAtMillis());
		call.failed(new CallFailure(reason, true, mayHaveRun, 0, load()));
		// That another target has the address says nothing of this one's health.
		finished(call, reason == FailureReason.WRONG_TARGET);
	}

	private void finished(HomeCall call, boolean succeeded) {
		long serviceMillis = this.context.now() - call.startedAtMillis();
		this.context.metrics().recordTargetTime(serviceMillis);
		this.context.metrics().callEnded(succeeded ? Outcome.ANSWERED : Outcome.FAILED);
		if (succeeded) {
			this.serviceTimes.observe(call.head().route(), serviceMillis, this.context.now());
		}
		this.failureShare += FAILURE_SMOOTHING_FACTOR * ((succeeded ? 0 : 1) - this.failureShare);
		callEnded(call);
	}

	/**
	 * Notes which target answered in place of the expected one.
	 * @param target its identifier; empty when it does not say
	 */
	void recordActualTarget(String target) {
		this.actualTarget = target;
	}

	void addIdle(TargetConnection connection) {
		if (this.idleConnections.size() >= MAX_IDLE_CONNECTIONS) {
			connection.abort();
			return;
		}
		this.idleConnections.push(connection);
	}

	void opened(TargetConnection connection) {
		this.openConnections.add(connection);
	}

	void closed(TargetConnection connection) {
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
	 * The target ended a connection in the middle of a call. If it has closed all its
	 * connections, the home finds out whether it still lives before it tells the entry,
	 * since a request that crashes its target must not be sent to many more.
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

	private void callEnded(HomeCall call) {
		this.running.remove(call);
		releaseSlot();
	}

	private void releaseSlot() {
		applyDecision(this.queue.release(this.slots, this.context.now()));
	}

	/**
	 * Gives back the slots of calls that the target will never answer.
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
	 * Gives a call that has a slot to the target.
	 * @param call the call
	 */
	void startPermitted(HomeCall call) {
		this.running.add(call);
		this.context.metrics().callStarted(now() - call.receivedAtMillis());
		TargetConnection connection = takeIdle(call.head().idempotent());
		if (connection != null) {
			connection.send(call);
			return;
		}
		connect(CONNECT_TIMEOUT_MILLIS, (opened) -> connected(call, opened.orElse(null)));
	}

	private TargetConnection takeIdle(boolean idempotent) {
		long now = now();
		Iterator<TargetConnection> connections = this.idleConnections.iterator();
		while (connections.hasNext()) {
			TargetConnection connection = connections.next();
			if (!connection.isUsable(now)) {
				connections.remove();
				connection.abort();
				continue;
			}
			if (idempotent || connection.idleMillis(now) <= MAX_NON_IDEMPOTENT_IDLE_MILLIS) {
				connections.remove();
				return connection;
			}
		}
		return null;
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
			callEnded(call);
			return;
		}
		if (call.isEnded() || call.isAbandoned()) {
			call.end();
			connection.release();
			callEnded(call);
			return;
		}
		connection.send(call);
	}

	private void markDown() {
		if (this.targetDown) {
			return;
		}
		this.targetDown = true;
		this.context.log().log(LogEvent.TARGET_DOWN, "address", this.context.settings().targetAddress());
		closeIdle();
		this.stateListener.run();
		scheduleProbe();
	}

	private void scheduleProbe() {
		this.context.loop().schedule(this::probeTarget, RECONNECT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void probeTarget() {
		connect(CONNECT_TIMEOUT_MILLIS, (opened) -> opened.ifPresentOrElse(this::markUp, this::scheduleProbe));
	}

	private void markUp(TargetConnection connection) {
		this.targetDown = false;
		this.context.log().log(LogEvent.TARGET_UP, "address", this.context.settings().targetAddress());
		connection.release();
		this.stateListener.run();
	}

	private void closeIdle() {
		while (!this.idleConnections.isEmpty()) {
			this.idleConnections.pop().abort();
		}
	}

}
