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
 * A home whose target sends bytes after a complete answer, while the next call runs on
 * the same connection.
 */
@Test(singleThreaded = true)
public class StrayBytesTests {

	private static final HeaderNames NAMES = new HeaderNames("Id", "Left", "Signature", "Expected", "Not-Run",
			"Caller-Service", "Target", "Limit", "Leaving", "/ready");

	private static final long TIMEOUT_SECONDS = 5;

	/** Time after the next request at which the target sends the bytes. */
	private static final long STRAY_DELAY_MILLIS = 50;

	private static final String COMPLETE = "complete";

	private NioEventLoopGroup group;

	private ServerSocket target;

	private HomeService home;

	private TimeSource time;

	private ProxyMetrics metrics;

	private volatile String stray;

	@BeforeMethod
	public void start() throws IOException {
		this.target = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::serve);
		InetSocketAddress address = (InetSocketAddress) this.target.getLocalSocketAddress();
		ProxySettings settings = new ProxySettings("vm-1", "a", "desk", address, address, address, address, address,
				address, 0, 1_000, 0.2, 10, 10_000, ProxySettings.DEFAULT_DRAIN_MILLIS,
				ProxySettings.DEFAULT_SETTLE_MILLIS, LogDetail.OFF, 1);
		this.group = new NioEventLoopGroup(1);
		this.time = TimeSource.system();
		this.metrics = new ProxyMetrics();
		ProxyContext context = new ProxyContext(settings, NAMES, (EventLoop) this.group.next(), this.time,
				new SplittableRandom(1), new DecisionLog("vm-1", this.time, LogDetail.OFF, 1), this.metrics);
		this.home = new HomeService(context, new QuarantineKeeper(context));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
		this.target.close();
	}

	@DataProvider
	Object[][] strayBytes() {
		return new Object[][] { { answer("first") }, { answer("another") },
				{ "HTTP/1.1 408 Request Timeout\r\nId: first\r\nContent-Length: 0\r\n\r\n" },
				{ "HTTP/1.1 503 Busy\r\nId: first\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" },
				{ "HTTP/1.1 421 Misdirected\r\nId: first\r\nContent-Length: 0\r\n\r\n" } };
	}

	@Test(dataProvider = "strayBytes")
	public void answerToAnEarlierCallEndsNoLaterOne(String bytes) throws Exception {
		this.stray = bytes;
		Assert.assertEquals(call("first"), COMPLETE);
		Assert.assertEquals(call("second"), COMPLETE);
	}

	@Test
	public void answerToAnEarlierCallIsCounted() throws Exception {
		this.stray = answer("first");
		call("first");
		call("second");
		String exposition = new String(this.metrics.exposition(), StandardCharsets.UTF_8);
		Assert.assertTrue(exposition.contains("stray_answers_total{when=\"call\"} 1.0"), exposition);
	}

	@DataProvider
	Object[][] unreadableBytes() {
		return new Object[][] { { "stray\r\n\r\n" }, { "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n" },
				{ "HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" },
				{ "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" },
				{ "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n" } };
	}

	// A refusal of an earlier request must not be taken for one of a request that runs.

	@Test(dataProvider = "unreadableBytes")
	public void bytesThatCannotBeAssignedAreNotPassedOnAsTheAnswer(String bytes) throws Exception {
		this.stray = bytes;
		Assert.assertEquals(call("first"), COMPLETE);
		Assert.assertEquals(call("second"), FailureReason.TARGET_GARBLED.toString());
	}

	private String call(String id) throws Exception {
		CompletableFuture<String> end = new CompletableFuture<>();
		long deadline = this.time.monotonicMillis() + TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
		CallHead head = new CallHead(id, "route", "i-1", "GET", "/" + id, List.of("Host", "m.example", "Id", id),
				deadline, deadline, 1, false, false, false, TargetStatements.NO_LIMIT, CallHead.NO_BODY);
		this.group.execute(() -> {
			Listener listener = new Listener(end);
			listener.handle = this.home.submit(head, "vm-2", listener);
			listener.handle.start();
		});
		return end.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private void serve() {
		try (Socket accepted = this.target.accept()) {
			readRequest(accepted.getInputStream());
			write(accepted, answer("first"));
			readRequest(accepted.getInputStream());
			TimeUnit.MILLISECONDS.sleep(STRAY_DELAY_MILLIS);
			write(accepted, this.stray);
			TimeUnit.MILLISECONDS.sleep(STRAY_DELAY_MILLIS);
			write(accepted, answer("second"));
			readRequest(accepted.getInputStream());
		}
		catch (IOException | InterruptedException ex) {
			// The home closed the connection.
			return;
		}
	}

	private static void readRequest(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		for (int next = input.read(); next >= 0 && !head.toString().endsWith("\r\n\r\n"); next = input.read()) {
			head.append((char) next);
			if (head.toString().endsWith("\r\n\r\n")) {
				return;
			}
		}
	}

	private static void write(Socket accepted, String text) throws IOException {
		accepted.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	private static String answer(String id) {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok";
	}

	/** Completes a future when the call ends. */
	private static final class Listener implements CallListener {

		private final CompletableFuture<String> end;

		private CallHandle handle;

		private Listener(CompletableFuture<String> end) {
			this.end = end;
		}

		@Override
		public void startRequested() {
			// The call is started when its handle is known.
		}

		@Override
		public void replied(ReplyHead head) {
			// The body follows.
		}

		@Override
		public void data(byte[] content, boolean last) {
			if (last) {
				this.end.complete(COMPLETE);
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
