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
 * A home whose target ends its answer and the connection in every way that is possible.
 * Only a whole answer may look whole.
 */
@Test(singleThreaded = true)
public class AnswerEndTests {

	private static final HeaderNames NAMES = new HeaderNames("Id", "Left", "Signature", "Expected", "Not-Run",
			"Caller-Service", "Target", "Limit", "Leaving", "/ready");

	private static final long TIMEOUT_SECONDS = 5;

	/** Time from the last bytes of the answer to the end of the connection. */
	private static final long END_DELAY_MILLIS = 200;

	/** More than the socket buffers hold of a request that its target does not read. */
	private static final int BLOCKED_UPLOAD_BYTES = 16 * 1024 * 1024;

	private static final String WHOLE = "whole";

	private static final String HEAD = "HTTP/1.1 200 OK\r\nId: q\r\nSignature: s\r\n";

	private NioEventLoopGroup group;

	private ServerSocket target;

	private HomeService home;

	private TimeSource time;

	private volatile String answer;

	private volatile boolean reset;

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
	Object[][] wholeAnswers() {
		return new Object[][] { { HEAD + "\r\nbody", "body" }, { HEAD + "\r\n", "" },
				{ HEAD + "Content-Length: 4\r\n\r\nbody", "body" },
				{ HEAD + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body" } };
	}

	@Test(dataProvider = "wholeAnswers")
	public void answerIsWholeAtTheEndOfTheStream(String bytes, String body) throws Exception {
		this.answer = bytes;
		Assert.assertEquals(call(0), WHOLE + " " + body);
	}

	@DataProvider
	Object[][] brokenAnswers() {
		String chunked = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
		return new Object[][] { { "", false }, { "HTTP/1.1 200 O", false }, { "HTTP/1.1 200 OK\r\n", false },
				{ HEAD, false }, { HEAD + "Content-Le", false }, { HEAD + "Content-Length: 4\r\n", false },
				{ HEAD + "Content-Length: 4\r\n\r", false }, { HEAD + "Content-Length: 4\r\n\r\nbod", false },
				{ HEAD + "Content-Length: 4\r\n\r\n", false }, { chunked, false }, { chunked + "4\r\nbo", false },
				{ chunked + "4\r\nbody\r\n", false }, { chunked + "4\r\nbody\r\n0", false },
				{ chunked + "4\r\nbody\r\n0\r\n", false }, { HEAD + "\r\nbody", true }, { HEAD + "\r\n", true },
				{ HEAD + "Content-Length: 4\r\n\r\nbod", true }, { chunked + "4\r\nbody\r\n", true }, { HEAD, true } };
	}

	// A target that stopped in the head of its answer must not yield an empty answer.
	@Test(dataProvider = "brokenAnswers")
	public void answerThatBreaksOffIsNotWhole(String bytes, boolean endsWithReset) throws Exception {
		this.answer = bytes;
		this.reset = endsWithReset;
		assertBroken(call(0));
	}

	// review/3: the reset was seen by the write of the request and looked like the end.
	@Test(dataProvider = "brokenAnswers")
	public void answerThatIsResetWhileItsRequestWaitsToBeWrittenIsNotWhole(String bytes, boolean endsWithReset)
			throws Exception {
		this.answer = bytes;
		this.reset = true;
		assertBroken(call(BLOCKED_UPLOAD_BYTES));
	}

	private static void assertBroken(String end) {
		Assert.assertTrue(end.equals("TARGET_BROKE_OFF") || end.equals("TARGET_GARBLED"), end);
	}

	private String call(int bodyBytes) throws Exception {
		CompletableFuture<String> end = new CompletableFuture<>();
		long deadline = this.time.monotonicMillis() + TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
		CallHead head = new CallHead("q", "route", "i-1", "PUT", "/q", List.of("Host", "m.example", "Id", "q"),
				deadline, deadline, 1, false, false, false, TargetStatements.NO_LIMIT,
				(bodyBytes > 0) ? bodyBytes : CallHead.NO_BODY);
		this.group.execute(() -> {
			Listener listener = new Listener(end);
			listener.handle = this.home.submit(head, "vm-2", listener);
			listener.handle.start();
			if (bodyBytes > 0) {
				listener.handle.data(new byte[bodyBytes], true);
			}
		});
		return end.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private void serve() {
		try (Socket accepted = this.target.accept()) {
			readHead(accepted.getInputStream());
			accepted.getOutputStream().write(this.answer.getBytes(StandardCharsets.US_ASCII));
			TimeUnit.MILLISECONDS.sleep(END_DELAY_MILLIS);
			if (this.reset) {
				accepted.setSoLinger(true, 0);
			}
		}
		catch (IOException | InterruptedException ex) {
			throw new AssertionError("the home closed the connection early", ex);
		}
	}

	private static void readHead(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			head.append((char) input.read());
		}
	}

	/** Completes a future when the call ends. */
	private static final class Listener implements CallListener {

		private final CompletableFuture<String> end;

		private final StringBuilder body = new StringBuilder();

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
			this.body.append(new String(content, StandardCharsets.US_ASCII));
			if (last) {
				this.end.complete(WHOLE + " " + this.body);
			}
		}

		@Override
		public void credit(int bytes) {
			// The whole body was sent at once.
		}

		@Override
		public void failed(CallFailure failure) {
			this.end.complete(failure.reason().toString());
		}

	}

}
