package org.eelgrasspitch.proxy;

import java.security.SecureRandom;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.eelgrasspitch.misc.Closer;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.misc.TimeSource;

/**
 * A running node of the streaming proxy: builds the parts, connects them, and stops them
 * in an order in which no request is cut off.
 */
public final class ProxyNode implements AutoCloseable {

	/** How often the clocks are compared to find out that the machine stood still. */
	private static final long CLOCK_MILLIS = 250;

	/** A difference between the clocks beyond this counts as a pause. */
	private static final long PAUSE_MILLIS = 700;

	/** Callers are led away within this time after readiness was withdrawn. */
	private static final long LEAD_AWAY_MILLIS = 2_300;

	/**
	 * Part of the time to stop in which the home still takes calls for its target, which
	 * may live on: long enough to shorten the gap until the next start, and early enough
	 * for nearly all of them to end in the rest of the time.
	 */
	private static final double HOME_SHARE = 0.25;

	/** Time reserved for ending before the process is ended by force. */
	private static final long END_MILLIS = 400;

	private static final long DRAIN_POLL_MILLIS = 25;

	/** Time in which requests that cross the end are still refused. */
	private static final long REFUSING_MILLIS = 100;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Closer closer = new Closer();

	private final Fabric fabric;

	private final Home home;

	private final Links links;

	private final EntryService entry;

	private final EntryServer server;

	private final Source source;

	private final BeliefKeeper beliefs;

	/** Wall clock minus steady clock at the last comparison, in milliseconds. */
	private long clockOffset;

	private ProxyNode(ProxySettings settings, HeaderNames names, DocumentDecoder decoder,
			Function<EventLoop, Source> sources) {
		TimeSource time = TimeSource.system();
		EventLoop traffic = loop("traffic");
		EventLoop control = loop("control");
		SecureRandom seed = new SecureRandom();
		this.fabric = new Fabric(settings, names, traffic, time, new SplittableRandom(seed.nextLong()),
				new DecisionLog(settings.vm(), time, settings.logDetail(), settings.logLinesPerSecond()),
				new ProxyMetrics());
		this.home = new Home(this.fabric);
		this.links = new Links(this.fabric, this.home, seed.nextLong(1, Long.MAX_VALUE));
		this.entry = new EntryService(this.fabric, this.home, this.links);
		this.source = sources.apply(control);
		this.beliefs = new BeliefKeeper(control, time, decoder, this.fabric.log(),
				(view) -> traffic.execute(() -> use(view)), this.source::refresh);
		this.server = new EntryServer(this.entry,
				new BeliefReporter(this.fabric, this.entry, this.home, this.links, this.beliefs));
		control.execute(() -> this.source.start(this.beliefs));
		watch();
		this.links.start(this.beliefs);
		this.server.start();
		this.clockOffset = time.wallMillis() - time.monotonicMillis();
		traffic.scheduleAtFixedRate(this::compareClocks, CLOCK_MILLIS, CLOCK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Starts a node.
	 * @param settings what it is told
	 * @param names names of header fields
	 * @param decoder reads published documents
	 * @param sources creates the source of documents on the control thread's event loop
	 * @return the running node
	 * @throws IllegalStateException if an address cannot be bound
	 */
	public static ProxyNode start(ProxySettings settings, HeaderNames names, DocumentDecoder decoder,
			Function<EventLoop, Source> sources) {
		ProxyNode node = new ProxyNode(settings, names, decoder, sources);
		node.fabric.log()
			.log(LogEvent.NODE_STARTED, "failure_domain", settings.failureDomain(), "service", settings.service(),
					"entry", settings.entryAddress(), "incarnation", node.links.incarnation());
		return node;
	}

	/**
	 * Takes over settings that were read again: the detail of the log and the budget of
	 * repeats. The others hold for the life of a node.
	 * @param settings what the file says now
	 */
	public void reloaded(ProxySettings settings) {
		this.fabric.log().configure(settings.logDetail(), settings.logLinesPerSecond());
		this.fabric.loop().execute(() -> this.entry.configure(settings));
		this.fabric.log()
			.log(LogEvent.SETTINGS_RELOADED, "changed", !settings.equals(this.fabric.settings()), "log_detail",
					settings.logDetail(), "log_lines", settings.logLinesPerSecond(), "retry_ratio",
					settings.retryRatio(), "retry_minimum", settings.retryMinimum());
	}

	/**
	 * Notes that settings were read again and cannot be used. The former ones hold.
	 * @param problems everything that is wrong with them
	 */
	public void refused(List<Problem> problems) {
		this.fabric.log().log(LogEvent.SETTINGS_REFUSED, "problems", problems.size(), "first", problems.getFirst());
	}

	/**
	 * Stops in order: withdraws readiness, takes calls for the target a little longer,
	 * tells peers, finishes what is in progress, and returns when nothing is, or when the
	 * time to stop is almost over.
	 */
	public void leave() {
		long began = this.fabric.now();
		long lastAt = began + this.fabric.settings().stopMillis() - END_MILLIS;
		this.fabric.loop().execute(this::withdraw);
		this.fabric.loop().schedule(this.server::closeIdle, LEAD_AWAY_MILLIS, TimeUnit.MILLISECONDS);
		long leadAwayUntil = began + LEAD_AWAY_MILLIS;
		while (this.fabric.now() < lastAt) {
			pause(DRAIN_POLL_MILLIS);
			if (this.fabric.now() >= leadAwayUntil && onTraffic(this::endIfIdle)) {
				break;
			}
		}
		pause(REFUSING_MILLIS);
		this.fabric.log()
			.log(LogEvent.NODE_STOPPED, "in_progress", onTraffic(this::inProgress), "took_ms",
					this.fabric.now() - began);
		close();
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private void withdraw() {
		this.fabric.log().log(LogEvent.NODE_STOPPING, "calls", this.home.inProgress(), "requests", this.entry.active());
		this.entry.stop();
		this.fabric.loop()
			.schedule(this.home::leave, (long) (HOME_SHARE * this.fabric.settings().stopMillis()),
					TimeUnit.MILLISECONDS);
	}

	private int inProgress() {
		return this.home.inProgress() + this.entry.active();
	}

	private <T> T onTraffic(Callable<T> question) {
		return this.fabric.loop().submit(question).syncUninterruptibly().getNow();
	}

	/**
	 * Ends the node if nothing is in progress. On the event loop of the traffic no
	 * request is taken between the look and the end.
	 * @return true when nothing is in progress and nothing more is taken
	 */
	private boolean endIfIdle() {
		if (inProgress() > 0) {
			return false;
		}
		this.entry.refuseAll();
		return true;
	}

	private static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void use(View view) {
		this.entry.use(view);
		this.home.use(view.directory());
		this.links.use(view);
	}

	private void compareClocks() {
		long offset = this.fabric.time().wallMillis() - this.fabric.now();
		long paused = offset - this.clockOffset;
		this.clockOffset = offset;
		if (paused > PAUSE_MILLIS) {
			this.fabric.log().log(LogEvent.PAUSE_DETECTED, "millis", paused);
			this.source.refresh();
		}
	}

	private void watch() {
		ProxyMetrics metrics = this.fabric.metrics();
		metrics.watch("config_version", "Version of the configuration in force; 0 before the first",
				() -> (this.entry.view().config() != null) ? this.entry.view().config().version() : 0);
		metrics.watch("targets", "Targets that are believed to exist",
				() -> this.entry.view().directory().all().size());
		metrics.watch("links", "Open links to peers", this.links::open);
		metrics.watch("active_requests", "Requests of callers in progress", this.entry::active);
		metrics.watch("running_calls", "Calls that run at the target", () -> this.home.load().running());
		metrics.watch("waiting_calls", "Calls that wait at this home", () -> this.home.load().waiting());
		metrics.watch("target_failure_share", "Smoothed share of calls that the target failed",
				() -> this.home.load().failurePercent() / 100.0);
		metrics.watch("config_age_seconds", "Time since the configuration in force was learned",
				() -> age(SourceChannel.CONFIG));
		metrics.watch("targets_age_seconds", "Time since the targets last changed", () -> age(SourceChannel.TARGETS));
		metrics.watch("source_lost", "1 while the source of documents does not answer",
				() -> this.beliefs.isSourceLost() ? 1 : 0);
		metrics.watch("log_sample_level", "One good request in two to the power of this is logged",
				this.fabric.log()::sampleLevel);
		metrics.watch("log_lines_dropped", "Log lines dropped and not yet reported", LineHandler::droppedLines);
	}

	private double age(SourceChannel channel) {
		return (this.fabric.now() - this.entry.view().changedAt(channel)) / MILLIS_PER_SECOND;
	}

	private EventLoop loop(String name) {
		EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory(name, true));
		this.closer.register(() -> group.shutdownGracefully(0, END_MILLIS / 2, TimeUnit.MILLISECONDS)
			.awaitUninterruptibly(END_MILLIS / 2));
		return (EventLoop) group.next();
	}

}
