package org.eelgrasspitch.node;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.util.HashedWheelTimer;
import org.eelgrasspitch.fleet.FleetEvent;
import org.eelgrasspitch.fleet.FleetMember;
import org.eelgrasspitch.fleet.FleetSettings;
import org.eelgrasspitch.fleet.Peer;
import org.eelgrasspitch.misc.Closer;
import org.eelgrasspitch.misc.TimeSource;
import org.eelgrasspitch.node.EventLog.Field;
import org.eelgrasspitch.wire.PeerTransport;
import org.eelgrasspitch.wire.WireLimits;

/**
 * A running node. Creates and connects the components, starts them in dependency order
 * and stops them in reverse order.
 */
public final class Node implements AutoCloseable {

	private static final int PEER_THREADS = 2;

	private static final int HTTP_THREADS = 2;

	private static final long PROBE_INTERVAL_MILLIS = 1_000;

	/** Interval at which requests that the target's limit delays are started. */
	private static final long PACING_INTERVAL_MILLIS = 20;

	/**
	 * System property; {@code false} disables the shutdown hook of the HTTP library,
	 * which would close connections on a termination signal while their requests are
	 * still running.
	 */
	private static final String SHUTDOWN_HOOK_PROPERTY = "jooby.useShutdownHook";

	private static final long TIMER_TICK_MILLIS = 10;

	private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;

	private final Closer closer;

	private final NodeContext context;

	private final HomeService home;

	private final ControlLoop control;

	private Node(NodeSettings settings, TimeSource time, RandomGenerator random, Closer closer) {
		this.closer = closer;
		long now = time.monotonicMillis();
		NodeState state = new NodeState(settings.pauseMillis(), now);
		NodeMetrics metrics = new NodeMetrics();
		this.context = new NodeContext(settings, time, random.nextLong(1, Long.MAX_VALUE), now, state, metrics,
				new ObjectiveRecorder(time, metrics), new EventLog(time), new AcceptedWork());
		Peer self = new Peer(settings.vm(), settings.failureDomain(), settings.advertisedAddress(),
				this.context.incarnation());
		FleetSettings fleet = FleetSettings.of(self, settings.seeds(), settings.distribution())
			.withPlatformCalls(settings.platformCallsPerSecond())
			.withPauseMillis(settings.pauseMillis())
			.withStartMillis(settings.startMillis());
		this.control = new ControlLoop(new FleetMember(fleet, random, now), this.context, fleet.tickMillis());
		TargetClient target = this.closer.register(new TargetClient(settings));
		HashedWheelTimer timer = new HashedWheelTimer(TIMER_TICK_MILLIS, TimeUnit.MILLISECONDS);
		this.closer.register(timer::stop);
		CallClient calls = new CallClient(this.context);
		DeathReporter deaths = new DeathReporter(this.context, calls, timer);
		this.home = new HomeService(this.context, target, deaths, random);
		metrics.registerHomeGauges(this.home);
		EntryService entry = new EntryService(this.context, this.home, calls, timer, this::reportRevision, random);
		PeerTransport transport = this.closer.register(new PeerTransport(self, PEER_THREADS,
				new PeerListener(this.context, this.control, calls, this.home, this::reportRevision),
				this.context.metrics()));
		calls.setTransport(transport);
		transport.listen(settings.peerAddress());
		PlatformClient platform = this.closer
			.register(new PlatformClient(settings, this.context.metrics(), this.control::post));
		this.control.start(transport, platform);
		this.closer.register(this.control);
		startTargetTimers(target);
		startHttpServer(CallerHttpApi.create(entry), settings.callerAddress());
		startHttpServer(OperatorHttpApi.create(this.context, this.control, this.home, entry),
				settings.operatorAddress());
	}

	/**
	 * Starts a node.
	 * @param settings settings of the node
	 * @return the running node
	 * @throws IllegalStateException if the node cannot be started, for example because an
	 * address cannot be bound; everything started so far is stopped
	 */
	public static Node start(NodeSettings settings) {
		System.setProperty(SHUTDOWN_HOOK_PROPERTY, Boolean.toString(false));
		System.setProperty(ChannelInitializerExtension.EXTENSIONS_SYSTEM_PROPERTY, CallerDepartureExtension.ENABLED);
		Node node = create(settings);
		node.context.log()
			.info("node_started", Field.of("vm", settings.vm()), Field.of("failure_domain", settings.failureDomain()),
					Field.of("incarnation", node.context.incarnation()));
		return node;
	}

	private static Node create(NodeSettings settings) {
		Closer closer = new Closer();
		try {
			return new Node(settings, TimeSource.system(), new SecureRandom(), closer);
		}
		catch (RuntimeException ex) {
			closer.close();
			throw new IllegalStateException("cannot start: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Shuts down gracefully: refuses new requests, notifies peers, waits for accepted
	 * work up to the drain limit, answers what is unfinished then and stops the node.
	 * Blocks until the node has stopped: at most about the larger of {@code drainMillis}
	 * and 1 second, plus the time to write the last answers and to close.
	 */
	public void leave() {
		AcceptedWork work = this.context.work();
		StopSchedule schedule = new StopSchedule(this.context.time().monotonicMillis(),
				this.context.settings().drainMillis());
		work.setEnd(schedule.lastAnswersAt());
		work.endAccepting();
		this.control.post(new FleetEvent.LeaveRequested());
		StopSchedule.Step step = StopSchedule.Step.WAIT;
		while (step != StopSchedule.Step.CLOSE) {
			sleepDrainPollInterval();
			step = schedule.next(this.context.time().monotonicMillis(), this.context.state().lifecycle().isLeaving(),
					work.count());
			if (step == StopSchedule.Step.SEND_LAST_ANSWERS) {
				this.context.log().warn("last_answers", Field.of("unfinished", work.count()));
				work.sendLastAnswers();
			}
		}
		this.context.log()
			.info("node_drained", Field.of("in_flight", this.home.inFlight()), Field.of("unfinished", work.count()));
		this.control.post(new FleetEvent.Drained());
		close();
	}

	/**
	 * Stops the node without waiting for requests in flight as {@link #leave()} does.
	 */
	@Override
	public void close() {
		this.closer.close();
	}

	private void reportRevision(long revision) {
		if (revision > this.context.state().revision()) {
			this.control.post(new FleetEvent.RevisionMentioned(revision));
		}
	}

	private static void sleepDrainPollInterval() {
		try {
			TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_INTERVAL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void startTargetTimers(TargetClient target) {
		ScheduledExecutorService prober = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, "prober");
			thread.setDaemon(true);
			return thread;
		});
		this.closer.register(prober::shutdownNow);
		prober.scheduleAtFixedRate(() -> target.probe(this.home::setTargetLeaving), PROBE_INTERVAL_MILLIS,
				PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		prober.scheduleAtFixedRate(this.home::startDelayed, PACING_INTERVAL_MILLIS, PACING_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void startHttpServer(Jooby app, InetSocketAddress address) {
		ServerOptions options = new ServerOptions().setPort(address.getPort())
			.setIoThreads(HTTP_THREADS)
			.setWorkerThreads(HTTP_THREADS)
			.setMaxRequestSize(WireLimits.MAX_BODY_BYTES);
		options.setHost(address.getAddress().getHostAddress());
		app.setServerOptions(options);
		Server server = app.start();
		this.closer.register(server::stop);
	}

}
