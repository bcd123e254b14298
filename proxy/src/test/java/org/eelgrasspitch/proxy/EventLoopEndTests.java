package org.eelgrasspitch.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import org.eelgrasspitch.mesh.MeshConfig;
import org.eelgrasspitch.mesh.SourceItem;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.misc.Problem;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A node one of whose event loops ends.
 */
@Test(singleThreaded = true)
public class EventLoopEndTests {

	private static final HeaderNames NAMES = new HeaderNames("Id", "Left", "Signature", "Expected", "Not-Run",
			"Caller-Service", "Target", "Limit", "Leaving", "/ready");

	private static final long NOTICE_MILLIS = 3_000;

	/** Time in which a node that is closed would have reported the end of its loops. */
	private static final long CLOSE_MILLIS = 500;

	private final AtomicReference<EventLoop> control = new AtomicReference<>();

	private final CountDownLatch broken = new CountDownLatch(1);

	private ProxyNode node;

	@BeforeMethod
	public void start() throws IOException {
		ProxySettings settings = new ProxySettings("vm-1", "a", "desk", freeAddress(), freeAddress(), freeAddress(),
				freeAddress(), freeAddress(), freeAddress(), 0, 1_000, 0.2, 10, 10_000,
				ProxySettings.DEFAULT_DRAIN_MILLIS, ProxySettings.DEFAULT_SETTLE_MILLIS, LogDetail.OFF, 1);
		this.node = ProxyNode.start(settings, NAMES, new NoDocuments(), (loop) -> {
			this.control.set(loop);
			return new IdleSource();
		});
		this.node.onBroken(this.broken::countDown);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.node.close();
	}

	@Test
	public void nodeThatIsClosedIsNotBroken() throws Exception {
		this.node.close();
		Assert.assertFalse(this.broken.await(CLOSE_MILLIS, TimeUnit.MILLISECONDS));
	}

	// review/1: the loop had ended for want of memory, and the process hung.
	@Test(dependsOnMethods = "nodeThatIsClosedIsNotBroken")
	public void endOfAnEventLoopIsNoticed() throws Exception {
		this.control.get().parent().shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
		Assert.assertTrue(this.broken.await(NOTICE_MILLIS, TimeUnit.MILLISECONDS));
	}

	private static InetSocketAddress freeAddress() throws IOException {
		try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return (InetSocketAddress) free.getLocalSocketAddress();
		}
	}

	/** A decoder that is given no document. */
	private static final class NoDocuments implements DocumentDecoder {

		@Override
		public Either<List<Problem>, MeshConfig> config(SourceItem item) {
			throw new AssertionError("no document was published");
		}

		@Override
		public OptionalLong configVersion(SourceItem item) {
			return OptionalLong.empty();
		}

		@Override
		public Either<List<Problem>, TargetEntry> target(SourceItem item) {
			throw new AssertionError("no document was published");
		}

	}

}
