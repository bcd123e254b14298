package org.eelgrasspitch.proxy;

import java.security.SecureRandom;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.eelgrasspitch.misc.Closer;
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

	/** Time reserved for ending before the process is ended by force. */
	private static final long END_MILLIS = 400;

	private static final long DRAIN_POLL_MILLIS = 25;

	private final Closer closer = new Closer();

	private final Fabric fabric;

	private final Home home;

	private final Links links;

	private final EntryService entry;

	private final EntryServer server;

	private final Source source;

	/** Wall clock minus steady clock at the last comparison, in milliseconds. */
	private long clockOffset;

	private ProxyNode(ProxySettings settings, HeaderNames names, DocumentDecoder decoder,
			Function<EventLoop, Source> sources) {
		TimeSource time = TimeSource.system();
		EventLoop traffic = loop("traffic");
		EventLoop control = loop("control");
		SecureRandom seed = new SecureRandom();
		this.fabric = new Fabric(settings, names, traffic, time, new SplittableRandom(seed.nextLong()),
				new DecisionLog(settings.vm(), time), new ProxyMetrics());
		this.home = new Home(this.fabric);
		this.links = new Links(this.fabric, this.home, seed.nextLong(1, Long.MAX_VALUE));
		this.entry = new EntryService(this.fabric, this.home, this.links);
		this.server = new EntryServer(this.entry);
		this.source = sources.apply(control);
		BeliefKeeper beliefs = new BeliefKeeper(control, time, decoder, this.fabric.log(),
				(view) -> traffic.execute(() -> use(view)), this.source::refresh);
		control.execute(() -> this.source.start(beliefs));
		watch();
		this.links.start(beliefs);
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
	 * Notes that the settings file was read again. Addresses hold for the life of a node.
	 * @param settings what it says now
	 */
	public void reloaded(ProxySettings settings) {
		this.fabric.log().log(LogEvent.SETTINGS_RELOADED, "changed", !settings.equals(this.fabric.settings()));
	}

	/**
	 * Stops in order: withdraws readiness, tells peers, finishes what is in progress, and
	 * returns when nothing is, or when the time to stop is almost over.
	 */
	public void leave() {
		long began = this.fabric.now();
		long lastAt = began + this.fabric.settings().stopMillis() - END_MILLIS;
		this.fabric.loop().execute(this::withdraw);
		this.fabric.loop().schedule(this.server::closeIdle, LEAD_AWAY_MILLIS, TimeUnit.MILLISECONDS);
		long leadAwayUntil = began + LEAD_AWAY_MILLIS;
		while (this.fabric.now() < lastAt) {
			pause();
			if (this.fabric.now() >= leadAwayUntil && inProgress() == 0) {
				break;
			}
		}
		this.fabric.log().log(LogEvent.NODE_STOPPED, "in_progress", inProgress(), "took_ms", this.fabric.now() - began);
		close();
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private void withdraw() {
		this.fabric.log().log(LogEvent.NODE_STOPPING, "calls", this.home.inProgress(), "requests", this.entry.active());
		this.entry.stop();
		this.home.leave();
	}

	private int inProgress() {
		return this.home.inProgress() + this.entry.active();
	}

	private static void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
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
		metrics.watch("log_lines_dropped", "Log lines dropped and not yet reported", LineHandler::droppedLines);
	}

	private EventLoop loop(String name) {
		EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory(name, true));
		this.closer.register(() -> group.shutdownGracefully(0, END_MILLIS / 2, TimeUnit.MILLISECONDS)
			.awaitUninterruptibly(END_MILLIS / 2));
		return (EventLoop) group.next();
	}

}
