package org.eelgrasspitch.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.eelgrasspitch.misc.TimeSource;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * A stop one of whose steps fails.
 */
public class NodeShutdownTests {

	private static final HeaderNames NAMES = new HeaderNames("Id", "Left", "Signature", "Expected", "Not-Run",
			"Caller-Service", "Target", "Limit", "Leaving", "/ready");

	private static final long STOP_MILLIS = 2_000;

	/** More than a node without work takes, less than the time to stop. */
	private static final long MAX_IDLE_STOP_MILLIS = 1_500;

	// The steps after it, among them the last answers, were never taken.
	@Test
	public void stepThatFailsEndsTheStop() throws Exception {
		NioEventLoopGroup group = new NioEventLoopGroup(1);
		try {
			ProxySettings settings = new ProxySettings("vm-1", "a", "desk", freeAddress(), freeAddress(), freeAddress(),
					freeAddress(), freeAddress(), freeAddress(), 0, STOP_MILLIS, 0.2, 10, 10_000,
					ProxySettings.DEFAULT_DRAIN_MILLIS, ProxySettings.DEFAULT_SETTLE_MILLIS, LogDetail.OFF, 1);
			TimeSource time = TimeSource.system();
			ProxyContext context = new ProxyContext(settings, NAMES, (EventLoop) group.next(), time,
					new SplittableRandom(1), new DecisionLog("vm-1", time, LogDetail.OFF, 1), new ProxyMetrics());
			QuarantineKeeper quarantine = new QuarantineKeeper(context);
			HomeService home = new HomeService(context, quarantine);
			LinkManager links = new LinkManager(context, home, quarantine, 1);
			EntryService entry = new EntryService(context, home, links);
			EntryServer server = new EntryServer(entry, null);
			server.start();
			home.onStateChange(() -> {
				throw new IllegalStateException("the state cannot be reported");
			});
			long startedAt = time.monotonicMillis();
			new NodeShutdown(context, server, entry, home, links).run();
			long tookMillis = time.monotonicMillis() - startedAt;
			Assert.assertTrue(tookMillis < MAX_IDLE_STOP_MILLIS, "took " + tookMillis + " ms");
		}
		finally {
			group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
		}
	}

	private static InetSocketAddress freeAddress() throws IOException {
		try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return (InetSocketAddress) free.getLocalSocketAddress();
		}
	}

}
