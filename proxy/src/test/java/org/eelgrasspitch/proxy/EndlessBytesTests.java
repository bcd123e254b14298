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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.eelgrasspitch.mesh.TargetStatements;
import org.eelgrasspitch.misc.TimeSource;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A home whose target sends bytes without end in places where a response has an end.
 */
@Test(singleThreaded = true)
public class EndlessBytesTests {

	private static final HeaderNames NAMES = new HeaderNames("Id", "Left", "Signature", "Expected", "Not-Run",
			"Caller-Service", "Target", "Limit", "Leaving", "/ready");

	private static final String OK = "HTTP/1.1 200 OK\r\nId: q\r\nSignature: s\r\n";

	private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

	private static final String WHOLE = OK + "Content-Length: 2\r\n\r\nok";

	private static final int BLOCK_BYTES = 4_096;

	/**
	 * What the node reads at most, 4 MiB, and what the buffers of the system hold: 4 MiB
	 * to send and 32 MiB to receive, the usual maximum.
	 */
	private static final long MAX_WRITTEN_BYTES = 42_000_000;

	/** The parts of a window and their own memory stay below twice the window. */
	private static final int MAX_PARTS = CallListener.WINDOW_BYTES / 512;

	private static final int DEADLINE_MILLIS = 1_500;

	private static final int MAX_MILLIS = 4_000;

	/** Time in which a target without end would fill the memory of a node. */
	private static final int FILL_MILLIS = 1_000;

	private static final String COMPLETE = "complete";

	private final AtomicLong written = new AtomicLong();

	private final AtomicInteger open = new AtomicInteger();

	private final AtomicLong receivedBytes = new AtomicLong();

	private final AtomicInteger receivedParts = new AtomicInteger();

	private volatile String start;

	private volatile String repeated;

	private NioEventLoopGroup group;

	private ServerSocket target;

	private HomeService home;

	private TimeSource time;

	private CallHandle handle;

	@BeforeMethod
	public void start() throws IOException {
		this.written.set(0);
		this.receivedBytes.set(0);
		this.receivedParts.set(0);
		this.target = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		ServerSocket listener = this.target;
		Thread.ofVirtual().start(() -> serve(listener));
		InetSocketAddress address = (InetSocketAddress) this.target.getLocalSocketAddress();
		ProxySettings settings = new ProxySettings("vm-1", "a", "desk", address, address, address, address, address,
				address, 0, 1_000, 0.2, 10, 10_000, ProxySettings.DEFAULT_DRAIN_MILLIS,
				ProxySettings.DEFAULT_SETTLE_MILLIS, LogDetail.OFF, 1);
		this.group = new NioEventLoopGroup(1);
		this.time = TimeSource.system();
		ProxyContext context = new ProxyContext(settings, NAMES, (EventLoop) this.group.next(), this.time,
				new SplittableRandom(1), new DecisionLog("vm-1", this.time, LogDetail.OFF, 1), new ProxyMetrics());
		this.home = new HomeService(context, new QuarantineKeeper(context));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
		this.target.close();
	}

	@DataProvider
	Object[][] places() {
		return new Object[][] { { "HTTP/1.1 100 Continue\r\nX-Filler: ", "y" },
				{ "HTTP/1.1 100 Continue\r\n", "X-Filler: y\r\n" }, { OK, "X-Filler: y\r\n" },
				{ CHUNKED + "2\r\nok\r\n0\r\nX-Filler: ", "y" }, { CHUNKED + "2\r\nok\r\n0\r\n", "X-Filler: y\r\n" },
				{ CHUNKED + "4;x=", "y" }, { CHUNKED, "0" }, { "HTTP/1.1 200 O", "K" },
				{ "HTTP/1.1 503 Busy\r\nId: q\r\nNot-Run: 1\r\n", "X-Filler: y\r\n" },
				{ "HTTP/1.1 503 Busy\r\nId: q\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
						"4;x=yy\r\nbusy\r\n" } };
	}

	// A target without end must hold neither memory nor its slot.
	@Test(dataProvider = "places")
	public void bytesWithoutEndEndTheCall(String first, String then) throws Exception {
		this.start = first;
		this.repeated = then;
		String end = submit(true).get(MAX_MILLIS, TimeUnit.MILLISECONDS);
		Assert.assertNotEquals(end, COMPLETE);
		Assert.assertEquals(end.equals("TARGET_REFUSED"), first.contains("Not-Run") && first.endsWith("\r\n\r\n"), end);
		awaitClosed();
	}

	@Test
	public void bytesOnAnIdleConnectionCloseIt() throws Exception {
		this.start = WHOLE;
		this.repeated = "HTTP/1.1 100 Continue\r\n\r\n";
		Assert.assertEquals(submit(true).get(MAX_MILLIS, TimeUnit.MILLISECONDS), COMPLETE);
		awaitClosed();
	}

	// The home went on reading a response that its caller does not take.
	@Test
	public void bodyThatNobodyTakesIsNotRead() throws Exception {
		this.start = OK + "\r\n";
		this.repeated = "more ";
		submit(false);
		TimeUnit.MILLISECONDS.sleep(FILL_MILLIS);
		Assert.assertTrue(this.receivedBytes.get() <= 2L * CallListener.WINDOW_BYTES, "bytes: " + this.receivedBytes);
		Assert.assertTrue(this.written.get() <= MAX_WRITTEN_BYTES, "bytes: " + this.written);
		awaitClosed();
	}

	// Each part costs some hundred bytes, however short, so one call could fill the
	// memory.
	@Test
	public void shortChunksArePassedOnInFewParts() throws Exception {
		this.start = CHUNKED;
		this.repeated = "1\r\nm\r\n";
		submit(false);
		TimeUnit.MILLISECONDS.sleep(FILL_MILLIS);
		Assert.assertTrue(this.receivedBytes.get() >= CallListener.WINDOW_BYTES, "bytes: " + this.receivedBytes);
		Assert.assertTrue(this.receivedParts.get() <= MAX_PARTS, "parts: " + this.receivedParts);
	}

	@DataProvider
	Object[][] bodies() {
		return new Object[][] { { OK + "\r\n", "more " }, { CHUNKED, "4\r\nmore\r\n" },
				{ CHUNKED, "1;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\nm\r\n" },
				{ CHUNKED + "2\r\nok\r\n0\r\n", "X-Filler: y\r\n" } };
	}

	@Test(dataProvider = "bodies")
	public void bodyOfAnAbandonedCallIsReadOnlyToABound(String first, String then) throws Exception {
		this.start = first;
		this.repeated = then;
		submit(true);
		for (int waited = 0; waited < MAX_MILLIS && this.written.get() == 0 && this.open.get() > 0; waited++) {
			TimeUnit.MILLISECONDS.sleep(1);
		}
		this.group.submit(() -> this.handle.supersede()).get(MAX_MILLIS, TimeUnit.MILLISECONDS);
		awaitClosed();
	}

	private void awaitClosed() throws InterruptedException {
		for (int waited = 0; this.open.get() > 0; waited++) {
			Assert.assertTrue(waited < MAX_MILLIS, "the connection is still open; bytes: " + this.written);
			TimeUnit.MILLISECONDS.sleep(1);
		}
		Assert.assertTrue(this.written.get() <= MAX_WRITTEN_BYTES, "bytes: " + this.written);
	}

	private CompletableFuture<String> submit(boolean reads) throws Exception {
		CompletableFuture<String> end = new CompletableFuture<>();
		this.open.set(1);
		long deadline = this.time.monotonicMillis() + DEADLINE_MILLIS;
		CallHead head = new CallHead("q", "route", "i-1", "GET", "/q", List.of("Host", "m.example", "Id", "q"),
				deadline, deadline, 1, true, false, false, TargetStatements.NO_LIMIT, CallHead.NO_BODY);
		this.group.submit(() -> {
			Listener listener = new Listener(end, reads);
			listener.handle = this.home.submit(head, "vm-2", listener);
			this.handle = listener.handle;
		}).get(MAX_MILLIS, TimeUnit.MILLISECONDS);
		return end;
	}

	private void serve(ServerSocket listener) {
		while (!listener.isClosed()) {
			try (Socket accepted = listener.accept()) {
				writeEndlessly(accepted);
			}
			catch (IOException ex) {
				// The home closed the connection, or the test the target.
				this.open.set(0);
			}
		}
	}

	private void writeEndlessly(Socket accepted) throws IOException {
		InputStream input = accepted.getInputStream();
		input.read();
		accepted.getOutputStream().write(this.start.getBytes(StandardCharsets.US_ASCII));
		byte[] block = this.repeated.repeat(Math.max(1, BLOCK_BYTES / this.repeated.length()))
			.getBytes(StandardCharsets.US_ASCII);
		while (true) {
			accepted.getOutputStream().write(block);
			this.written.addAndGet(block.length);
		}
	}

	/** Completes a future when the call ends, and takes the body if it reads. */
	private final class Listener implements CallListener {

		private final CompletableFuture<String> end;

		private final boolean reads;

		private CallHandle handle;

		private Listener(CompletableFuture<String> end, boolean reads) {
			this.end = end;
			this.reads = reads;
		}

		@Override
		public void startRequested() {
			// The calls are idempotent.
		}

		@Override
		public void replied(ReplyHead head) {
			// The body follows.
		}

		@Override
		public void data(byte[] content, boolean last) {
			EndlessBytesTests.this.receivedBytes.addAndGet(content.length);
			EndlessBytesTests.this.receivedParts.incrementAndGet();
			if (last) {
				this.end.complete(COMPLETE);
				return;
			}
			if (this.reads) {
				this.handle.credit(content.length);
			}
		}

		@Override
		public void credit(int bytes) {
			// The requests have no body.
		}

		@Override
		public void failed(CallFailure failure) {
			this.end.complete(failure.reason().toString());
		}

	}

}
