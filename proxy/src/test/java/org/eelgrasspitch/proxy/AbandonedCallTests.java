package org.eelgrasspitch.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.eelgrasspitch.mesh.TargetStatements;
import org.eelgrasspitch.misc.TimeSource;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Calls whose time is over, or that are cancelled, before they are sent to the target.
 */
@Test(singleThreaded = true)
public class AbandonedCallTests {

	private static final HeaderNames NAMES = new HeaderNames("Id", "Left", "Signature", "Expected", "Not-Run",
			"Caller-Service", "Target", "Limit", "Leaving", "/ready");

	private static final long TIMEOUT_MILLIS = 5_000;

	/** Time in which a request that was sent would have reached the target. */
	private static final long ARRIVAL_MILLIS = 300;

	private final LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();

	private NioEventLoopGroup group;

	private ServerSocket target;

	private ProxyContext context;

	private HomeService home;

	@BeforeMethod
	public void start() throws Exception {
		this.received.clear();
		this.target = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::serve);
		InetSocketAddress address = (InetSocketAddress) this.target.getLocalSocketAddress();
		ProxySettings settings = new ProxySettings("vm-1", "a", "desk", address, address, address, address, address,
				address, 0, 1_000, 0.2, 10, 10_000, ProxySettings.DEFAULT_DRAIN_MILLIS,
				ProxySettings.DEFAULT_SETTLE_MILLIS, LogDetail.OFF, 1);
		this.group = new NioEventLoopGroup(1);
		TimeSource time = TimeSource.system();
		this.context = new ProxyContext(settings, NAMES, (EventLoop) this.group.next(), time, new SplittableRandom(1),
				new DecisionLog("vm-1", time, LogDetail.OFF, 1), new ProxyMetrics());
		this.home = new HomeService(this.context, new QuarantineKeeper(this.context));
		// Leaves an idle connection on which the next call can be sent at once.
		runOnLoop(() -> submit("first", true, TIMEOUT_MILLIS));
		Assert.assertEquals(this.received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "first");
		TimeUnit.MILLISECONDS.sleep(ARRIVAL_MILLIS);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
		this.target.close();
	}

	// A request reached its target after the caller had got status 504.
	@Test
	public void callWhoseCancellationHasBeenReceivedIsNotSent() throws Exception {
		runOnLoop(() -> submit("lookup", true, TIMEOUT_MILLIS).cancel());
		assertNothingReceived();
	}

	@Test
	public void permittedCallWhoseCancellationHasBeenReceivedIsNotSent() throws Exception {
		runOnLoop(() -> {
			CallHandle handle = submit("payment", false, TIMEOUT_MILLIS);
			handle.start();
			handle.cancel();
		});
		assertNothingReceived();
	}

	@Test
	public void callWhoseDeadlineHasPassedIsNotSent() throws Exception {
		runOnLoop(() -> submit("lookup", true, 0));
		assertNothingReceived();
	}

	@Test
	public void callWhoseDeadlinePassesBeforeThePermissionIsNotSent() throws Exception {
		runOnLoop(() -> {
			CallHandle handle = submit("payment", false, 100);
			this.context.loop().schedule(handle::start, 200, TimeUnit.MILLISECONDS);
		});
		assertNothingReceived();
	}

	// Calls were sent to a leaving target because the timer's task waited on a busy loop.
	@Test
	public void drainTimeEndsOnABusyEventLoop() throws Exception {
		runOnLoop(() -> {
			DrainTimer timer = new DrainTimer(this.context.loop(), 100, () -> {
			});
			timer.updateAvailability(false);
			Assert.assertFalse(timer.isExpired());
			long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(100);
			while (System.nanoTime() < untilNanos) {
				Thread.onSpinWait();
			}
			Assert.assertTrue(timer.isExpired());
		});
	}

	private void assertNothingReceived() throws InterruptedException {
		Assert.assertNull(this.received.poll(ARRIVAL_MILLIS, TimeUnit.MILLISECONDS));
	}

	private void runOnLoop(Runnable action) throws Exception {
		try {
			this.group.submit(action).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			throw new AssertionError("the event loop is blocked", ex);
		}
	}

	private CallHandle submit(String id, boolean idempotent, long remainingMillis) {
		long deadline = this.context.now() + remainingMillis;
		CallHead head = new CallHead(id, "route", "i-1", "GET", "/" + id, List.of("Host", "m.example", "Id", id),
				deadline, deadline, 1, idempotent, false, false, TargetStatements.NO_LIMIT, CallHead.NO_BODY);
		return this.home.submit(head, "vm-2", new SilentListener());
	}

	private void serve() {
		try (Socket accepted = this.target.accept()) {
			while (true) {
				String id = readId(accepted.getInputStream());
				this.received.add(id);
				accepted.getOutputStream()
					.write(("HTTP/1.1 200 OK\r\nId: " + id + "\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok")
						.getBytes(StandardCharsets.US_ASCII));
			}
		}
		catch (IOException ex) {
			// The home closed the connection.
			return;
		}
	}

	/** Returns the path of the next request without its slash. */
	private static String readId(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			int next = input.read();
			if (next < 0) {
				throw new IOException("end of the connection");
			}
			head.append((char) next);
		}
		return head.substring(head.indexOf("/") + 1, head.indexOf(" HTTP"));
	}

	/** Ignores the response. */
	private static final class SilentListener implements CallListener {

		@Override
		public void startRequested() {
			// The test permits the start.
		}

		@Override
		public void replied(ReplyHead head) {
			// Not needed.
		}

		@Override
		public void data(byte[] content, boolean last) {
			// Not needed.
		}

		@Override
		public void credit(int bytes) {
			// The requests have no body.
		}

		@Override
		public void failed(CallFailure failure) {
			// What has reached the target shows whether the call was sent.
		}

	}

}
