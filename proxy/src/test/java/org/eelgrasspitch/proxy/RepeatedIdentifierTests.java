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
 * A home whose target answers a request twice, while a later request with the same
 * identifier runs. The first request is answered with status 200, the later one with
 * status 500.
 */
@Test(singleThreaded = true)
public class RepeatedIdentifierTests {

	private static final HeaderNames NAMES = new HeaderNames("Id", "Left", "Signature", "Expected", "Not-Run",
			"Caller-Service", "Target", "Limit", "Leaving", "/ready");

	private static final long TIMEOUT_SECONDS = 5;

	private static final long PAUSE_MILLIS = 50;

	private static final String ID = "parent.child";

	private static final String SUCCESS = "HTTP/1.1 200 OK\r\nId: parent.child\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok";

	private static final String FAILURE = "HTTP/1.1 500 Error\r\nId: parent.child\r\nSignature: s\r\nContent-Length: 0\r\n\r\n";

	private NioEventLoopGroup group;

	private ServerSocket target;

	private HomeService home;

	private TimeSource time;

	/** What the target writes before its answer to the second request. */
	private volatile String copy;

	private final AtomicInteger requests = new AtomicInteger();

	@BeforeMethod
	public void start() throws IOException {
		this.requests.set(0);
		this.target = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
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
	Object[][] copies() {
		return new Object[][] { { SUCCESS },
				{ "HTTP/1.1 503 Busy\r\nId: parent.child\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" },
				{ "HTTP/1.1 421 Misdirected\r\nId: parent.child\r\nContent-Length: 0\r\n\r\n" } };
	}

	// The second copy of an answer was taken for that of a later run with the same
	// identifier.
	@Test(dataProvider = "copies")
	public void copyOfAnAnswerIsNotTakenForThatOfALaterRun(String late) throws Exception {
		this.copy = late;
		Assert.assertEquals(call(), "200");
		Assert.assertEquals(call(), "500");
	}

	@Test
	public void copyOfAnAnswerIsNotTakenForThatOfALaterRunAfterOtherRequests() throws Exception {
		this.copy = SUCCESS;
		Assert.assertEquals(call(), "200");
		Assert.assertEquals(call("other"), "200");
		Assert.assertEquals(call(), "500");
	}

	private String call() throws Exception {
		return call(ID);
	}

	private String call(String id) throws Exception {
		CompletableFuture<String> end = new CompletableFuture<>();
		long deadline = this.time.monotonicMillis() + TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
		CallHead head = new CallHead(id, "route", "i-1", "GET", "/" + id, List.of("Host", "m.example", "Id", id),
				deadline, deadline, 1, true, false, false, TargetStatements.NO_LIMIT, CallHead.NO_BODY);
		this.group.execute(() -> this.home.submit(head, "vm-2", new Listener(end)));
		return end.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private void accept() {
		while (!this.target.isClosed()) {
			try {
				Socket accepted = this.target.accept();
				Thread.ofVirtual().start(() -> serve(accepted));
			}
			catch (IOException ex) {
				// The test has closed the socket.
				return;
			}
		}
	}

	private void serve(Socket accepted) {
		boolean answeredHere = false;
		try (accepted) {
			while (true) {
				boolean other = readRequest(accepted.getInputStream()).startsWith("GET /other");
				if (other) {
					write(accepted, SUCCESS.replace(ID, "other"));
					continue;
				}
				if (this.requests.incrementAndGet() == 1) {
					answeredHere = true;
					write(accepted, SUCCESS);
					continue;
				}
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
				if (answeredHere) {
					write(accepted, this.copy);
					TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
				}
				write(accepted, FAILURE);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The home closed the connection.
			return;
		}
	}

	private static String readRequest(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			int next = input.read();
			if (next < 0) {
				throw new IOException("end of the connection");
			}
			head.append((char) next);
		}
		return head.toString();
	}

	private static void write(Socket accepted, String text) throws IOException {
		accepted.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	/** Completes a future with the status of the answer, or the reason of the failure. */
	private static final class Listener implements CallListener {

		private final CompletableFuture<String> end;

		private int status;

		private Listener(CompletableFuture<String> end) {
			this.end = end;
		}

		@Override
		public void startRequested() {
			// Idempotent calls start without permission.
		}

		@Override
		public void replied(ReplyHead head) {
			this.status = head.status();
		}

		@Override
		public void data(byte[] content, boolean last) {
			if (last) {
				this.end.complete(String.valueOf(this.status));
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
