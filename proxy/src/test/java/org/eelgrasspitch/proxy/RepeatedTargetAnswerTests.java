package org.eelgrasspitch.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.eelgrasspitch.mesh.TargetStatements;
import org.eelgrasspitch.misc.TimeSource;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A home whose target answers a first request with status 200, writes this answer or a
 * part of it once more, and answers a second request with status 500. Whatever the copy
 * is, and whenever it comes, it must not be taken for a part of the second answer.
 */
public class RepeatedTargetAnswerTests {

	private static final HeaderNames NAMES = new HeaderNames("Id", "Left", "Signature", "Expected", "Not-Run",
			"Caller-Service", "Target", "Limit", "Leaving", "/ready");

	/** Shorter than the time after which a home gives up a silent target. */
	private static final long TIMEOUT_MILLIS = 2_500;

	private static final long PAUSE_MILLIS = 40;

	private static final String SECOND = "HTTP/1.1 500 Error\r\nId: second\r\nSignature: s\r\nContent-Length: 5\r\n\r\n";

	private static final String SECOND_BODY = "wrong";

	/** When the target writes the copy. */
	enum Moment {

		/** In one write with the first answer. */
		AT_ONCE,

		/** While the connection is idle. */
		IDLE,

		/** While the second request runs. */
		RUNNING,

		/** In one write with the second answer, before it. */
		BEFORE_THE_ANSWER,

		/** In one write with the second answer, behind it. */
		BEHIND_THE_ANSWER,

		/** While the second request runs; then the connection ends. */
		WITH_THE_END

	}

	@DataProvider(parallel = true)
	Object[][] cuts() {
		String head = head("Date: Sat\r\nId: first\r\nSignature: s\r\nContent-Length: 2\r\n");
		List<Object[]> cases = new ArrayList<>();
		for (Moment moment : List.of(Moment.AT_ONCE, Moment.IDLE, Moment.RUNNING, Moment.BEFORE_THE_ANSWER)) {
			for (int length = 1; length < head.length(); length++) {
				cases.add(new Object[] { moment, head, length });
			}
		}
		return cases.toArray(Object[][]::new);
	}

	// The beginning of a copy and the answer behind it were read as one head, with the
	// status of the copy and the identifier of the answer.
	@Test(dataProvider = "cuts")
	public void beginningOfACopyIsNotTakenForThatOfTheNextAnswer(Moment moment, String head, int length)
			throws Exception {
		try (Home home = new Home(moment, head + "ok", head.substring(0, length))) {
			Assert.assertEquals(home.call("first", "GET"), "200 ok");
			home.awaitCopyWhileIdle();
			String end = home.call("second", "GET");
			boolean whileIdle = moment == Moment.AT_ONCE || moment == Moment.IDLE;
			boolean answered = end.equals("500 " + SECOND_BODY);
			Assert.assertTrue(answered || (!whileIdle && end.equals(FailureReason.TARGET_GARBLED.toString())), end);
		}
	}

	@DataProvider(parallel = true)
	Object[][] copies() {
		String answerInBody = head("Id: second\r\nSignature: s\r\nContent-Length: 0\r\n");
		List<Object[]> cases = new ArrayList<>();
		for (Moment moment : Moment.values()) {
			for (String second : List.of("GET", "HEAD", "PUT")) {
				cases.add(new Object[] { moment, "GET", second, answer("ok") });
				cases.add(new Object[] { moment, "GET", second, answer(answerInBody) });
				cases.add(new Object[] { moment, "GET", second,
						head("Id: first\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n") + "2\r\nok\r\n0\r\n\r\n" });
				cases.add(new Object[] { moment, "HEAD", second,
						head("Id: first\r\nSignature: s\r\nContent-Length: 200\r\n") });
				cases.add(new Object[] { moment, "PUT", second,
						"HTTP/1.1 204 No Content\r\nId: first\r\nSignature: s\r\n\r\n" });
				cases.add(new Object[] { moment, "GET", second,
						"HTTP/1.1 304 Not Modified\r\nId: first\r\nSignature: s\r\nContent-Length: 200\r\n\r\n" });
				cases.add(new Object[] { moment, "GET", second, "HTTP/1.1 100 Continue\r\n\r\n" + answer("ok") });
			}
		}
		return cases.toArray(Object[][]::new);
	}

	// The decoder read a copy by the rules for the method of the request that ran.
	@Test(dataProvider = "copies")
	public void copyDoesNotChangeHowTheNextAnswerIsRead(Moment moment, String firstMethod, String secondMethod,
			String answer) throws Exception {
		try (Home home = new Home(moment, answer, answer)) {
			home.call("first", firstMethod);
			home.awaitCopyWhileIdle();
			String end = home.call("second", secondMethod);
			String expected = secondMethod.equals("HEAD") ? "500 " : ("500 " + SECOND_BODY);
			boolean ended = moment == Moment.WITH_THE_END && end.equals(FailureReason.TARGET_BROKE_OFF.toString());
			Assert.assertTrue(ended || end.equals(expected), end);
		}
	}

	private static String head(String headers) {
		return "HTTP/1.1 200 OK\r\n" + headers + "\r\n";
	}

	private static String answer(String body) {
		return head("Id: first\r\nSignature: s\r\nContent-Length: " + body.length() + "\r\n") + body;
	}

	/** A home with its target. */
	private static final class Home implements AutoCloseable {

		private final NioEventLoopGroup group = new NioEventLoopGroup(1);

		private final ServerSocket target = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());

		private final TimeSource time = TimeSource.system();

		private final HomeService service;

		private final Moment moment;

		private final String firstAnswer;

		private final String copy;

		/** Completed when the home closes the connection on which it got the copy. */
		private final CompletableFuture<Void> closedAfterCopy = new CompletableFuture<>();

		Home(Moment moment, String firstAnswer, String copy) throws IOException {
			this.moment = moment;
			this.firstAnswer = firstAnswer;
			this.copy = copy;
			InetSocketAddress address = (InetSocketAddress) this.target.getLocalSocketAddress();
			ProxySettings settings = new ProxySettings("vm-1", "a", "desk", address, address, address, address, address,
					address, 0, 1_000, 0.2, 10, 10_000, ProxySettings.DEFAULT_DRAIN_MILLIS,
					ProxySettings.DEFAULT_SETTLE_MILLIS, LogDetail.OFF, 1);
			ProxyContext context = new ProxyContext(settings, NAMES, (EventLoop) this.group.next(), this.time,
					new SplittableRandom(1), new DecisionLog("vm-1", this.time, LogDetail.OFF, 1), new ProxyMetrics());
			this.service = new HomeService(context, new QuarantineKeeper(context));
			Thread.ofVirtual().start(this::accept);
		}

		@Override
		public void close() throws IOException {
			this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
			this.target.close();
		}

		/**
		 * Waits until the home has closed the connection, if the copy arrives while that
		 * is idle.
		 */
		void awaitCopyWhileIdle() throws Exception {
			if (this.moment == Moment.AT_ONCE || this.moment == Moment.IDLE) {
				this.closedAfterCopy.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			}
		}

		/**
		 * Sends a request.
		 * @return status and body of the answer, or the reason of the failure
		 */
		String call(String id, String method) throws Exception {
			CompletableFuture<String> end = new CompletableFuture<>();
			long deadline = this.time.monotonicMillis() + 2 * TIMEOUT_MILLIS;
			CallHead head = new CallHead(id, "route", "i-1", method, "/" + id, List.of("Host", "m.example", "Id", id),
					deadline, deadline, 1, true, false, false, TargetStatements.NO_LIMIT, CallHead.NO_BODY);
			this.group.execute(() -> this.service.submit(head, "vm-2", new Listener(end)));
			return end.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
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
			boolean copyIsDue = false;
			try (accepted) {
				while (true) {
					String head = readHead(accepted.getInputStream());
					if (head.contains(" /first ")) {
						copyIsDue = true;
						answerFirst(accepted);
						continue;
					}
					String answer = SECOND + (head.startsWith("HEAD") ? "" : SECOND_BODY);
					if (!copyIsDue) {
						write(accepted, answer);
						continue;
					}
					copyIsDue = false;
					answerSecond(accepted, answer);
					if (this.moment == Moment.WITH_THE_END) {
						return;
					}
				}
			}
			catch (IOException | InterruptedException ex) {
				// The home closed the connection.
				return;
			}
		}

		private void answerFirst(Socket accepted) throws IOException, InterruptedException {
			write(accepted, this.firstAnswer + ((this.moment == Moment.AT_ONCE) ? this.copy : ""));
			if (this.moment == Moment.IDLE) {
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
				write(accepted, this.copy);
			}
			if (this.moment == Moment.AT_ONCE || this.moment == Moment.IDLE) {
				awaitClose(accepted);
			}
		}

		private void awaitClose(Socket accepted) {
			try {
				if (accepted.getInputStream().read() < 0) {
					this.closedAfterCopy.complete(null);
					return;
				}
				this.closedAfterCopy.completeExceptionally(new IllegalStateException("the connection was used again"));
			}
			catch (IOException ex) {
				// The home has reset the connection.
				this.closedAfterCopy.complete(null);
			}
		}

		private void answerSecond(Socket accepted, String answer) throws IOException, InterruptedException {
			switch (this.moment) {
				case AT_ONCE, IDLE -> write(accepted, answer);
				case RUNNING -> {
					write(accepted, this.copy);
					TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
					write(accepted, answer);
				}
				case BEFORE_THE_ANSWER -> write(accepted, this.copy + answer);
				case BEHIND_THE_ANSWER -> write(accepted, answer + this.copy);
				case WITH_THE_END -> write(accepted, this.copy);
			}
		}

		private static String readHead(InputStream input) throws IOException {
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

	}

	/** Completes a future when the call ends. */
	private static final class Listener implements CallListener {

		private final CompletableFuture<String> end;

		private final StringBuilder body = new StringBuilder();

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
			this.body.append(new String(content, StandardCharsets.US_ASCII));
			if (last) {
				this.end.complete(this.status + " " + this.body);
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
