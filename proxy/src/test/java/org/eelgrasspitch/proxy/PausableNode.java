package org.eelgrasspitch.proxy;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.eelgrasspitch.mesh.CallerLimits;
import org.eelgrasspitch.mesh.MeshConfig;
import org.eelgrasspitch.mesh.MeshRoute;
import org.eelgrasspitch.mesh.RouteTable;
import org.eelgrasspitch.mesh.TargetDirectory;
import org.eelgrasspitch.misc.TimeSource;

/**
 * A node without a source of documents, whose event loop can be made to stand still, as
 * on a VM that is short of processor time.
 */
final class PausableNode implements AutoCloseable {

	static final HeaderNames NAMES = new HeaderNames("Id", "Left", "Signature", "Expected", "Not-Run", "Caller-Service",
			"Target", "Limit", "Leaving", "/ready");

	private static final int MAX_BODY_BYTES = 5_000_000;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final NioEventLoopGroup control = new NioEventLoopGroup(1);

	private final InetSocketAddress entryAddress;

	private final ProxyContext context;

	private final HomeService home;

	private final EntryService entry;

	private final LinkManager links;

	/**
	 * Starts a node.
	 * @param vm name of its VM
	 * @param addresses addresses on which it listens, each free: for callers, for
	 * readiness checks, for links and for metrics
	 * @param targetAddress address of the target of its VM
	 */
	PausableNode(String vm, List<InetSocketAddress> addresses, InetSocketAddress targetAddress) {
		this.entryAddress = addresses.get(0);
		ProxySettings settings = new ProxySettings(vm, "a", "desk", addresses.get(0), addresses.get(1),
				addresses.get(2), addresses.get(3), targetAddress, targetAddress, 0, 1_000, 0.2, 100, 10_000,
				ProxySettings.DEFAULT_DRAIN_MILLIS, ProxySettings.DEFAULT_SETTLE_MILLIS, LogDetail.OFF, 1);
		TimeSource time = TimeSource.system();
		this.context = new ProxyContext(settings, NAMES, (EventLoop) this.group.next(), time, new SplittableRandom(1),
				new DecisionLog(vm, time, LogDetail.OFF, 1), new ProxyMetrics());
		QuarantineKeeper quarantine = new QuarantineKeeper(this.context);
		this.home = new HomeService(this.context, quarantine);
		this.links = new LinkManager(this.context, this.home, quarantine, 1);
		this.entry = new EntryService(this.context, this.home, this.links);
		RoutingStateKeeper keeper = new RoutingStateKeeper(this.control, time, null, this.context.log(), (state) -> {
		}, new IdleSource());
		this.links.start(keeper, keeper);
		new EntryServer(this.entry, null).start();
	}

	InetSocketAddress entryAddress() {
		return this.entryAddress;
	}

	/**
	 * Publishes a configuration with one route and the targets.
	 */
	void publish(MeshRoute route, TargetDirectory directory) {
		RoutingState state = new RoutingState(
				new MeshConfig(1, new CallerLimits(16_384, MAX_BODY_BYTES, 5_000, 60_000),
						new RouteTable(List.of(route)), Map.of()),
				directory, true, RoutingState.EMPTY.positions(), RoutingState.EMPTY.lastChanges(),
				RoutingState.EMPTY.lastDeltaAtMillis(), RoutingState.EMPTY.sourceReport());
		this.context.loop().submit(() -> {
			this.home.updateDirectory(directory);
			this.entry.updateState(state);
			this.links.updateState(state);
		}).syncUninterruptibly();
	}

	boolean hasUsableLinkTo(TargetDirectory directory, String targetId) {
		return this.context.loop()
			.submit(() -> directory.find(targetId).flatMap(this.links::linkTo).isPresent())
			.syncUninterruptibly()
			.getNow();
	}

	/**
	 * Lets the event loop stand still from now on.
	 */
	void pause(long millis) {
		this.context.loop().execute(() -> {
			try {
				TimeUnit.MILLISECONDS.sleep(millis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

	@Override
	public void close() {
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
		this.control.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

}
