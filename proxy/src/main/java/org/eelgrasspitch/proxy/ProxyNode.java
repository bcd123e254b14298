package org.eelgrasspitch.proxy;

import java.security.SecureRandom;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.eelgrasspitch.mesh.StopSequence;
import org.eelgrasspitch.misc.Closer;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.misc.TimeSource;

/**
 * Running node of the streaming proxy. Creates and connects its components, and shuts
 * them down in an order that interrupts no request.
 */
public final class ProxyNode implements AutoCloseable {

	/** Minimum change of the clocks' difference that is treated as a pause. */
	private static final long MIN_PAUSE_MILLIS = 700;

	/** Maximum time for the threads to end. */
	private static final long THREAD_END_MILLIS = 200;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Closer closer = new Closer();

	private final ProxyContext context;

	private final HomeService home;

	private final LinkManager links;

	private final EntryService entry;

	private final EntryServer server;

	private final Source source;

	/** Completed when an event loop has ended although the node was not closed. */
	private final CompletableFuture<Void> broken = new CompletableFuture<>();

	/** Whether the node ends its event loops itself. */
	private volatile boolean closing;

	private final RoutingStateKeeper stateKeeper;

	/** Wall clock minus monotonic clock at the last comparison, in milliseconds. */
	private long clockOffsetMillis;

	private ProxyNode(ProxySettings settings, HeaderNames names, DocumentDecoder decoder,
			Function<EventLoop, Source> sourceFactory) {
		TimeSource time = TimeSource.system();
		EventLoop traffic = createEventLoop("traffic");
		EventLoop control = createEventLoop("control");
		SecureRandom seedSource = new SecureRandom();
		this.context = new ProxyContext(settings, names, traffic, time, new SplittableRandom(seedSource.nextLong()),
				new DecisionLog(settings.vm(), time, settings.logDetail(), settings.logLinesPerSecond()),
				new ProxyMetrics());
		QuarantineKeeper quarantine = new QuarantineKeeper(this.context);
		this.home = new HomeService(this.context, quarantine);
		this.links = new LinkManager(this.context, this.home, quarantine, seedSource.nextLong(1, Long.MAX_VALUE));
		this.entry = new EntryService(this.context, this.home, this.links);
		this.source = sourceFactory.apply(control);
		this.stateKeeper = new RoutingStateKeeper(control, time, decoder, this.context.log(),
				(state) -> traffic.execute(() -> updateState(state)), this.source);
		this.server = new EntryServer(this.entry,
				new NodeStateReporter(this.context, this.entry, this.home, this.links, this.stateKeeper));
		control.execute(() -> this.source.start(this.stateKeeper));
		registerGauges();
		this.links.start(this.stateKeeper, this.stateKeeper);
		this.server.start();
		this.clockOffsetMillis = time.wallMillis() - time.monotonicMillis();
		this.context.watch().onTick(this::detectPause);
	}

	/**
	 * Starts a node.
	 * @param settings settings of the node
	 * @param names names of the HTTP header fields
	 * @param decoder decoder of published documents
	 * @param sourceFactory creates the source of the documents; receives the event loop
	 * of the control thread, on which the source must call its listener
	 * @return the running node
	 * @throws IllegalStateException if an address cannot be bound
	 */
	public static ProxyNode start(ProxySettings settings, HeaderNames names, DocumentDecoder decoder,
			Function<EventLoop, Source> sourceFactory) {
		ProxyNode node = new ProxyNode(settings, names, decoder, sourceFactory);
		node.context.log()
			.logNodeEvent(LogEvent.NODE_STARTED, "failure_domain", settings.failureDomain(), "service",
					settings.service(), "entry", settings.entryAddress(), "incarnation", node.links.incarnation());
		return node;
	}

	/**
	 * Applies reloaded settings. Only the log detail, the log rate and the retry budget
	 * can change; the other settings are fixed until the node restarts.
	 * @param settings the reloaded settings
	 */
	public void settingsReloaded(ProxySettings settings) {
		this.context.log().configure(settings.logDetail(), settings.logLinesPerSecond());
		this.context.loop().execute(() -> this.entry.configure(settings));
		this.context.log()
			.logNodeEvent(LogEvent.SETTINGS_RELOADED, "changed", !settings.equals(this.context.settings()),
					"log_detail", settings.logDetail(), "log_lines", settings.logLinesPerSecond(), "retry_ratio",
					settings.retryRatio(), "retry_minimum", settings.retryMinimum());
	}

	/**
	 * Logs that the reloaded settings are invalid. The current ones stay in use.
	 * @param problems the problems found; not empty
	 */
	public void settingsRejected(List<Problem> problems) {
		this.context.log()
			.logNodeEvent(LogEvent.SETTINGS_REFUSED, "problems", problems.size(), "first", problems.getFirst());
	}

	/**
	 * Shuts the node down gracefully: withdraws readiness, accepts calls for the target a
	 * little longer, reports to peers that this node is draining, and completes requests
	 * in progress; see {@link StopSequence}. Blocks until none is left or the stop time
	 * is almost over. The node is closed when this returns.
	 */
	public void leave() {
		new NodeShutdown(this.context, this.server, this.entry, this.home, this.links).run();
		close();
	}

	/**
	 * Closes the node at once; requests in progress are cut off. {@link #leave()}
	 * completes them first and then closes the node.
	 */
	@Override
	public void close() {
		this.closing = true;
		this.closer.close();
	}

	/**
	 * Sets what to do when an event loop has ended by itself, for want of memory for
	 * instance. The node serves nothing any more then, and must be started again.
	 * @param action called at most once, on any thread; at once if a loop has ended
	 */
	public void onBroken(Runnable action) {
		this.broken.thenRun(action);
	}

	private void loopEnded(String name) {
		if (this.closing) {
			return;
		}
		try {
			this.context.log().logNodeEvent(LogEvent.EVENT_LOOP_ENDED, "loop", name);
		}
		finally {
			// Memory may be short, so that even the log line fails.
			this.broken.complete(null);
		}
	}

	private void updateState(RoutingState state) {
		this.entry.updateState(state);
		this.home.updateDirectory(state.directory());
		this.links.updateState(state);
	}

	/**
	 * Compares the clocks. They drift apart while the machine is paused.
	 */
	private void detectPause() {
		long offsetMillis = this.context.time().wallMillis() - this.context.now();
		long pausedMillis = offsetMillis - this.clockOffsetMillis;
		this.clockOffsetMillis = offsetMillis;
		if (pausedMillis > MIN_PAUSE_MILLIS) {
			this.context.log().logNodeEvent(LogEvent.PAUSE_DETECTED, "millis", pausedMillis);
			this.source.refresh();
		}
	}

	private void registerGauges() {
		ProxyMetrics metrics = this.context.metrics();
		metrics.registerGauge("config_version", "Version of the configuration in force; 0 before the first",
				() -> (this.entry.state().config() != null) ? this.entry.state().config().version() : 0);
		metrics.registerGauge("targets", "Targets that are believed to exist",
				() -> this.entry.state().directory().all().size());
		metrics.registerGauge("links", "Open links to peers", this.links::openLinkCount);
		metrics.registerGauge("link_waiting_bytes", "Bytes that wait to be sent on links", this.links::waitingBytes);
		metrics.registerGauge("source_reading", "1 while this node reads the source of documents",
				() -> this.links.isReadingSource() ? 1 : 0);
		metrics.registerGauge("active_requests", "Requests of callers in progress", this.entry::activeRequests);
		metrics.registerGauge("running_calls", "Calls that run at the target", () -> this.home.load().running());
		metrics.registerGauge("waiting_calls", "Calls that wait at this home", () -> this.home.load().waiting());
		metrics.registerGauge("crash_suspects", "Requests under which at least one target crashed",
				this.links.quarantine()::suspectCount);
		metrics.registerGauge("quarantined_requests", "Requests that are refused because they crash targets",
				this.links.quarantine()::quarantinedCount);
		metrics.registerGauge("target_failure_share", "Smoothed share of calls that the target failed",
				() -> this.home.load().failurePercent() / 100.0);
		metrics.registerGauge("target_limit_per_second", "Limit that the target of this VM names; 0 if it names none",
				this.home.condition()::reportedLimitPerSecond);
		metrics.registerGauge("config_age_seconds", "Time since the configuration in force was learned",
				() -> ageSeconds(SourceChannel.CONFIG));
		metrics.registerGauge("targets_age_seconds", "Time since the targets last changed",
				() -> ageSeconds(SourceChannel.TARGETS));
		metrics.registerGauge("source_lost", "1 while the source of documents does not answer",
				() -> this.stateKeeper.isSourceLost() ? 1 : 0);
		metrics.registerGauge("log_sample_level", "One good request in two to the power of this is logged",
				this.context.log()::sampleLevel);
		metrics.registerGauge("log_lines_dropped", "Log lines dropped and not yet reported",
				AsyncLogHandler::droppedLines);
	}

	private double ageSeconds(SourceChannel channel) {
		return (this.context.now() - this.entry.state().lastDeltaAtMillis(channel)) / MILLIS_PER_SECOND;
	}

	private EventLoop createEventLoop(String name) {
		EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory(name, true));
		this.closer.register(() -> group.shutdownGracefully(0, THREAD_END_MILLIS, TimeUnit.MILLISECONDS)
			.awaitUninterruptibly(THREAD_END_MILLIS));
		group.terminationFuture().addListener((ended) -> loopEnded(name));
		return (EventLoop) group.next();
	}

}
