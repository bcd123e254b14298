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
 * connection every {@link #TRIAL_MILLIS} until one succeeds.
 */
final class Home {

	/** Slots assumed while the target has not published any. */
	private static final int DEFAULT_SLOTS = 4;

	/** How often the queue is looked at for requests that ran out of time. */
	private static final long TICK_MILLIS = 50;

	/** How often a target that is down is tried. */
	private static final long TRIAL_MILLIS = 400;

	/** How long to wait for a connection to the target, which is on this VM. */
	private static final int CONNECT_MILLIS = Connections.CONNECT_MILLIS;

	/** How long to wait for the connection that shows whether a target lives. */
	private static final int CRASH_TRIAL_MILLIS = 200;

	/** When a caller of a target that is down, or leaving, may come back. */
	private static final int DOWN_RETURN_MILLIS = 500;

	/**
	 * Longest time a connection may have been idle before it carries a request that must
	 * not run twice: far below any idle timeout, so the target is not just closing it.
	 */
	private static final long FRESH_MILLIS = 1_000;

	/** Idle connections kept to the target. */
	private static final int MAX_IDLE = 32;

	/**
	 * How long after its deadline a call may still run: targets end their work at the
	 * deadline, so one that has not answered by then never will.
	 */
	private static final long OVERDUE_MILLIS = 1_000;

	/** How often calls that run are looked at. */
	private static final long OVERDUE_TICK_MILLIS = 500;

	/** Weight of one more outcome in the failure share. */
	private static final double FAILURE_WEIGHT = 0.08;

	private static final int PERCENT = 100;

	private final Fabric fabric;

	private final Bootstrap bootstrap;

	private final TargetQueue<HomeCall> queue = new TargetQueue<>();

	/** Open connections to the target, idle or not. */
	private final Set<TargetConnection> open = new HashSet<>();

	private final ServiceTimes times = new ServiceTimes();

	/** Idle connections, the most recently used first. */
	private final Deque<TargetConnection> idle = new ArrayDeque<>();

	/** The target's own entry; null while none is published. */
	private TargetEntry entry;

	/**
	 * Identifier of the target that answered in place of another one; empty while the
	 * published one has not been contradicted.
	 */
	private String actual = "";

	private int slots = DEFAULT_SLOTS;

	private boolean down;

	/** Whether this node is about to stop. */
	private boolean leaving;

	private final Departure departure;

	private double failureShare;

	/** Calls that were given to the target and have not ended. */
	private final Set<HomeCall> running = new HashSet<>();

	private boolean ticking;

	private Runnable stateListener = () -> {
	};

	Home(Fabric fabric) {
		this.fabric = fabric;
		this.bootstrap = Connections.client(fabric.loop());
		this.departure = new Departure(fabric.loop(), this::withdraw);
		fabric.loop()
			.scheduleAtFixedRate(this::endOverdue, OVERDUE_TICK_MILLIS, OVERDUE_TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	void onStateChange(Runnable listener) {
		this.stateListener = listener;
	}

	/**
	 * Takes over a new directory.
	 * @param directory the targets that exist
	 */
	void use(TargetDirectory directory) {
		Optional<TargetEntry> own = directory.findByAddress(this.fabric.settings().service(),
				this.fabric.settings().targetAddress());
		if (own.isPresent() || this.entry != null) {
			this.departure.published(own.filter((published) -> !published.draining()).isPresent());
		}
		if (own.isEmpty()) {
			return;
		}
		if (this.entry == null || !this.entry.id().equals(own.get().id())
				|| this.entry.startUnixMillis() != own.get().startUnixMillis()) {
			this.failureShare = 0;
			this.actual = "";
			closeIdle();
		}
		this.entry = own.get();
		this.slots = this.entry.slots();
	}

	/**
	 * Refuses what still waits for a target that is leaving; it can be served elsewhere.
	 */
	private void withdraw() {
		this.queue.removeAll().forEach((call) -> refuse(call, FailureReason.LEAVING, DOWN_RETURN_MILLIS));
		this.stateListener.run();
	}

	TargetLoad load() {
		return new TargetLoad(state(), this.queue.running(), this.queue.waiting(), this.slots,
				(int) this.queue.waitMillis(this.slots), (int) this.times.overallMillis(),
				(int) (this.failureShare * PERCENT));
	}

	/**
	 * Tells whether the target runs a request.
	 * @param requestId its identifier
	 * @return true from its start to its end
	 */
	boolean runs(String requestId) {
		return this.running.stream().anyMatch((call) -> call.head().requestId().equals(requestId));
	}

	/**
	 * Tells whether the target runs a request that another one has received before.
	 * @param requestId its identifier
	 * @return true from its start to its end
	 */
	boolean runsRepeat(String requestId) {
		return this.running.stream()
			.anyMatch((call) -> call.head().repeat() && call.head().requestId().equals(requestId));
	}

	int inProgress() {
		return this.queue.running() + this.queue.waiting();
	}

	void leave() {
		this.leaving = true;
		this.stateListener.run();
	}

	/**
	 * Takes a call.
	 * @param head the call
	 * @param from name of the VM of the entry that placed it
	 * @param sink receives the answer
	 * @return where the rest of the call goes
	 */
	CallFlow accept(CallHead head, String from, CallSink sink) {
		HomeCall call = new HomeCall(this, head, sink, new CallLog(this.fabric.log(), head, from), now());
		if (this.leaving || this.departure.isOver()) {
			refuse(call, FailureReason.LEAVING, DOWN_RETURN_MILLIS);
			return call;
		}
		if (this.down) {
			refuse(call, FailureReason.TARGET_DOWN, DOWN_RETURN_MILLIS);
			return call;
		}
		if (!this.actual.isEmpty() && !this.actual.equals(head.target())) {
			refuse(call, FailureReason.WRONG_TARGET, DOWN_RETURN_MILLIS);
			return call;
		}
		carryOut(this.queue.offer(new Job<>(call, head.rank(), head.objectiveAt(), head.deadlineAt(),
				this.times.expectedMillis(head.route(), now())), this.slots, now()));
		this.queue.position(call, this.slots).ifPresent((place) -> call.log().queued(place, load(), now()));
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
		this.fabric.metrics().callEnded(Outcome.CANCELLED);
		call.log().cancelled(call.stateWord(), now() - call.receivedAt());
		if (call.isWaiting()) {
			this.queue.remove(call);
			call.end();
			return;
		}
		if (call.isClaimed()) {
			call.end();
			released();
			return;
		}
		if (endsRunning && call.connection() != null) {
			TargetConnection connection = call.connection();
			call.end();
			connection.abort();
			ended(call);
		}
	}

	/**
	 * The target has answered a call.
	 * @param call the call
	 * @param good whether the target served it
	 */
	void answered(HomeCall call, boolean good) {
		call.log().done(good, call.startedAt() - call.receivedAt(), now() - call.startedAt(), now());
		finished(call, good);
	}

	/**
	 * The target has ended a call without an answer.
	 * @param call the call
	 * @param reason how
	 * @param mayHaveRun whether it may have begun to run the call
	 */
	void failed(HomeCall call, FailureReason reason, boolean mayHaveRun) {
		call.log().failed(reason, mayHaveRun, call.startedAt() - call.receivedAt(), now() - call.startedAt());
		call.failed(new CallFailure(reason, true, mayHaveRun, 0, load()));
		// That another target has the address says nothing of this one's health.
		finished(call, reason == FailureReason.WRONG_TARGET);
	}

	private void finished(HomeCall call, boolean good) {
		long took = this.fabric.now() - call.startedAt();
		this.fabric.metrics().targetTook(took);
		this.fabric.metrics().callEnded(good ? Outcome.ANSWERED : Outcome.FAILED);
		if (good) {
			this.times.observe(call.head().route(), took, this.fabric.now());
		}
		this.failureShare += FAILURE_WEIGHT * ((good ? 0 : 1) - this.failureShare);
		ended(call);
	}

	/**
	 * Notes which target answered in place of the expected one.
	 * @param target its identifier; empty when it does not say
	 */
	void contradicted(String target) {
		this.actual = target;
	}

	void idle(TargetConnection connection) {
		if (this.idle.size() >= MAX_IDLE) {
			connection.abort();
			return;
		}
		this.idle.push(connection);
	}

	void opened(TargetConnection connection) {
		this.open.add(connection);
	}

	void closed(TargetConnection connection) {
		this.open.remove(connection);
		this.idle.remove(connection);
	}

	HeaderNames names() {
		return this.fabric.names();
	}

	long now() {
		return this.fabric.now();
	}

	/**
	 * The target ended a connection in the middle of a call. If it has closed all its
	 * connections, the home finds out whether it still lives before it tells the entry,
	 * since a request that crashes its target must not be sent to many more.
	 * @param call the call
	 */
	void brokeOff(HomeCall call) {
		if (!this.open.isEmpty() || this.down) {
			failed(call, this.down ? FailureReason.TARGET_CRASHED : FailureReason.TARGET_BROKE_OFF, true);
			return;
		}
		dial(CRASH_TRIAL_MILLIS, (connection) -> {
			connection.ifPresentOrElse(TargetConnection::release, this::wentDown);
			failed(call, connection.isPresent() ? FailureReason.TARGET_BROKE_OFF : FailureReason.TARGET_CRASHED, true);
		});
	}

	private TargetLoad.State state() {
		if (this.leaving || this.departure.isOver()) {
			return TargetLoad.State.LEAVING;
		}
		return this.down ? TargetLoad.State.DOWN : TargetLoad.State.UP;
	}

	private void ended(HomeCall call) {
		this.running.remove(call);
		released();
	}

	private void released() {
		carryOut(this.queue.release(this.slots, this.fabric.now()));
	}

	/**
	 * Gives back the slots of calls that the target will never answer.
	 */
	private void endOverdue() {
		long oldest = now() - OVERDUE_MILLIS;
		for (HomeCall call : List.copyOf(this.running)) {
			if (call.head().deadlineAt() < oldest && call.connection() != null) {
				call.connection().abort();
				failed(call, FailureReason.TARGET_SILENT, true);
			}
		}
	}

	private void carryOut(Decision<HomeCall> decision) {
		decision.refused()
			.forEach((refused) -> refuse(refused.work(), FailureReason.OVERLOADED, (int) refused.retryAfterMillis()));
		decision.started().forEach(this::start);
		if (this.queue.waiting() > 0 && !this.ticking) {
			this.ticking = true;
			this.fabric.loop().schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void tick() {
		this.ticking = false;
		carryOut(this.queue.schedule(this.slots, this.fabric.now()));
	}

	private void refuse(HomeCall call, FailureReason reason, int returnMillis) {
		this.fabric.metrics().callEnded(Outcome.REFUSED);
		call.log().refused(reason, load(), returnMillis, now());
		call.failed(CallFailure.notSent(reason, returnMillis, load()));
	}

	private void start(HomeCall call) {
		if (call.claim(now())) {
			permitted(call);
		}
	}

	/**
	 * Gives a call that has a slot to the target.
	 * @param call the call
	 */
	void permitted(HomeCall call) {
		this.running.add(call);
		this.fabric.metrics().callStarted(now() - call.receivedAt());
		TargetConnection connection = takeIdle(call.head().idempotent());
		if (connection != null) {
			connection.send(call);
			return;
		}
		dial(CONNECT_MILLIS, (opened) -> connected(call, opened.orElse(null)));
	}

	private TargetConnection takeIdle(boolean idempotent) {
		long now = now();
		Iterator<TargetConnection> connections = this.idle.iterator();
		while (connections.hasNext()) {
			TargetConnection connection = connections.next();
			if (!connection.isUsable(now)) {
				connections.remove();
				connection.abort();
				continue;
			}
			if (idempotent || connection.idleMillis(now) <= FRESH_MILLIS) {
				connections.remove();
				return connection;
			}
		}
		return null;
	}

	private void dial(int timeoutMillis, Consumer<Optional<TargetConnection>> done) {
		this.bootstrap.clone()
			.handler(TargetConnection.initializer(this))
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
			.connect(this.fabric.settings().targetAddress())
			.addListener((ChannelFuture future) -> done.accept(Optional.of(future)
				.filter(ChannelFuture::isSuccess)
				.map((opened) -> opened.channel().pipeline().get(TargetConnection.class))));
	}

	private void connected(HomeCall call, TargetConnection connection) {
		if (connection == null) {
			wentDown();
			if (!call.isEnded()) {
				refuse(call, FailureReason.TARGET_DOWN, DOWN_RETURN_MILLIS);
			}
			ended(call);
			return;
		}
		if (call.isEnded() || call.isAbandoned()) {
			call.end();
			connection.release();
			ended(call);
			return;
		}
		connection.send(call);
	}

	private void wentDown() {
		if (this.down) {
			return;
		}
		this.down = true;
		this.fabric.log().log(LogEvent.TARGET_DOWN, "address", this.fabric.settings().targetAddress());
		closeIdle();
		this.stateListener.run();
		scheduleTrial();
	}

	private void scheduleTrial() {
		this.fabric.loop().schedule(this::tryTarget, TRIAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void tryTarget() {
		dial(CONNECT_MILLIS, (opened) -> opened.ifPresentOrElse(this::cameBack, this::scheduleTrial));
	}

	private void cameBack(TargetConnection connection) {
		this.down = false;
		this.fabric.log().log(LogEvent.TARGET_UP, "address", this.fabric.settings().targetAddress());
		connection.release();
		this.stateListener.run();
	}

	private void closeIdle() {
		while (!this.idle.isEmpty()) {
			this.idle.pop().abort();
		}
	}

}
