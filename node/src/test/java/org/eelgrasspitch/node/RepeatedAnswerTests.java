package org.eelgrasspitch.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Guards;
import org.eelgrasspitch.text.RouteKey;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A target that writes the answer to an earlier request once more on a kept connection,
 * where the answer to the next request is expected.
 */
@Test(singleThreaded = true)
public class RepeatedAnswerTests {

	private static final int TIMEOUT_MILLIS = 5_000;

	/** Time after the answer to the first request in which its copy arrives. */
	private static final long COPY_MILLIS = 200;

	private ServerSocket target;

	private TargetClient client;

	private static final int OK = 200;

	private static final int FAILED = 500;

	private volatile String answer;

	/** What is written after the first answer; null for the answer. */
	private volatile String copy;

	/** Status of the answers to requests with other identifiers. */
	private volatile String nextStatus = "200 OK";

	/** Answer to a second request with the identifier of the first; empty if unused. */
	private volatile String laterAnswer = "";

	private final AtomicInteger connections = new AtomicInteger();

	private final AtomicBoolean firstAnswered = new AtomicBoolean();

	@BeforeMethod
	public void open() throws IOException {
		this.firstAnswered.set(false);
		this.connections.set(0);
		this.copy = null;
		this.nextStatus = "200 OK";
		this.target = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
		this.client = new TargetClient(new NodeSettings("vm-1", "a", "desk", any, any, any, any,
				(InetSocketAddress) this.target.getLocalSocketAddress(), "http://127.0.0.1:1", List.of(),
				Distribution.values()[0], 1, 1, 1_000, 1_000, 1_000, Guards.ALL));
	}

	@AfterMethod(alwaysRun = true)
	public void close() throws IOException {
		this.client.close();
		this.target.close();
	}

	@DataProvider
	public Object[][] answers() {
		return new Object[][] {
				{ "HTTP/1.1 503 Busy\r\nRequest-Ran: no\r\nRequest-Id: q1\r\nContent-Length: 0\r\n\r\n" },
				{ "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Length: 2\r\n\r\nok" } };
	}

	// A repeated refusal was taken for one of a request that the target had run.
	@Test(dataProvider = "answers")
	public void answerToAnEarlierRequestIsNotTakenForThatOfTheNext(String first) throws Exception {
		this.answer = first;
		send("q1");
		TimeUnit.MILLISECONDS.sleep(2 * COPY_MILLIS);
		CallOutcome second = send("q2");
		boolean lost = second instanceof CallOutcome.Unknown;
		boolean own = second instanceof CallOutcome.Answered answered
				&& new String(answered.body(), StandardCharsets.US_ASCII).equals("q2");
		Assert.assertTrue(lost || own, second.toString());
	}

	// The second copy of an answer was taken for that of a later run with the same
	// identifier.
	@Test(dataProvider = "answers")
	public void answerToAnEarlierRunIsNotTakenForThatOfALaterOne(String first) throws Exception {
		this.answer = first;
		this.laterAnswer = "HTTP/1.1 500 Error\r\nRequest-Id: q1\r\nContent-Length: 0\r\n\r\n";
		send("q1");
		Assert.assertEquals(status(send("q1")), FAILED);
	}

	@DataProvider
	public Object[][] beginnings() {
		return new Object[][] { { "HTTP/1.1 200 O" }, { "HTTP/1.1 200 " }, { "HTTP/1.1 200 OK\r\n" },
				{ "HTTP/1.1 200 OK\r\nDate" }, { "HTTP/1.1 200 OK\r\nDate: Sat" }, { "HTTP/1.1 200 OK\r\nDate: Sat\r" },
				{ "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n" } };
	}

	// The beginning of a copy and the answer behind it were read as one head, with the
	// status of the copy and the identifier of the answer.
	@Test(dataProvider = "beginnings")
	public void beginningOfACopyIsNotTakenForThatOfTheNextAnswer(String beginning) throws Exception {
		this.answer = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Length: 2\r\n\r\nok";
		this.copy = beginning;
		this.nextStatus = "500 Error";
		send("q1");
		TimeUnit.MILLISECONDS.sleep(2 * COPY_MILLIS);
		CallOutcome second = send("q2");
		Assert.assertTrue(second instanceof CallOutcome.Unknown || status(second) == FAILED, second.toString());
	}

	// An answer that names no request was taken for that of whichever request ran.
	@Test
	public void answerThatNamesNoRequestIsNotTakenForThatOfTheNext() throws Exception {
		this.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
		Assert.assertEquals(status(send("q1")), OK);
		CallOutcome second = send("q2");
		Assert.assertTrue(second instanceof CallOutcome.Answered answered
				&& new String(answered.body(), StandardCharsets.US_ASCII).equals("q2"), second.toString());
	}

	// An answer to a request was taken for that to a health query.
	@Test
	public void answerToARequestIsNotTakenForTheStateOfTheTarget() throws Exception {
		this.answer = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Length: 8\r\n\r\ndraining";
		send("q1");
		CompletableFuture<Boolean> draining = new CompletableFuture<>();
		this.client.probe(draining::complete);
		Assert.assertFalse(draining.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
	}

	// The connection of a wrong answer was kept, so each later request got the answer to
	// the one before it.
	@Test(dataProvider = "repeatedAnswers")
	public void connectionOfAnAnswerToAnEarlierRequestIsNotKept(String first) throws Exception {
		this.answer = first;
		send("q1");
		TimeUnit.MILLISECONDS.sleep(2 * COPY_MILLIS);
		send("q2");
		CallOutcome third = send("q3");
		Assert.assertTrue(third instanceof CallOutcome.Answered answered
				&& new String(answered.body(), StandardCharsets.US_ASCII).equals("q3"), third.toString());
	}

	@DataProvider
	public Object[][] repeatedAnswers() {
		return new Object[][] { { "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Length: 2\r\n\r\nok" },
				{ "HTTP/1.1 503 Busy\r\nRequest-Ran: no\r\nRequest-Id: q1\r\nContent-Length: 0\r\n\r\n" } };
	}

	// Each health query closed the connections that were kept for requests.
	@Test
	public void healthQueryLeavesKeptConnectionsAlone() throws Exception {
		send("q2");
		CompletableFuture<Boolean> draining = new CompletableFuture<>();
		this.client.probe(draining::complete);
		draining.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		send("q3");
		Assert.assertEquals(this.connections.get(), 2);
	}

	private static int status(CallOutcome outcome) {
		return (outcome instanceof CallOutcome.Answered answered) ? answered.status() : 0;
	}

	private CallOutcome send(String id) throws Exception {
		CompletableFuture<CallOutcome> outcome = new CompletableFuture<>();
		CallMessage.Request request = new CallMessage.Request(1, id, new RouteKey("desk", "read"), TIMEOUT_MILLIS,
				Optional.empty(), Optional.empty(), List.of(), new byte[0], 1);
		this.client.send(request, TIMEOUT_MILLIS, (statement) -> {
		}, outcome::complete);
		return outcome.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void accept() {
		while (!this.target.isClosed()) {
			try {
				Socket accepted = this.target.accept();
				this.connections.incrementAndGet();
				Thread.ofVirtual().start(() -> serve(accepted));
			}
			catch (IOException ex) {
				// The test has closed the socket.
				return;
			}
		}
	}

	private void serve(Socket accepted) {
		try (accepted) {
			while (true) {
				String id = readId(accepted.getInputStream());
				if (id.isEmpty()) {
					TimeUnit.MILLISECONDS.sleep(2 * COPY_MILLIS);
					write(accepted, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nup");
					continue;
				}
				if (!id.equals("q1")) {
					TimeUnit.MILLISECONDS.sleep(2 * COPY_MILLIS);
					write(accepted, "HTTP/1.1 " + this.nextStatus + "\r\nRequest-Id: " + id
							+ "\r\nContent-Length: 2\r\n\r\n" + id);
					continue;
				}
				if (this.firstAnswered.getAndSet(true)) {
					TimeUnit.MILLISECONDS.sleep(2 * COPY_MILLIS);
					write(accepted, this.laterAnswer);
					continue;
				}
				write(accepted, this.answer);
				repeatLater(accepted);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The client closed the connection.
			return;
		}
	}

	private void repeatLater(Socket accepted) {
		Thread.ofVirtual().start(() -> {
			try {
				TimeUnit.MILLISECONDS.sleep(COPY_MILLIS);
				write(accepted, (this.copy != null) ? this.copy : this.answer);
			}
			catch (IOException | InterruptedException ex) {
				// The client closed the connection.
				return;
			}
		});
	}

	private static void write(Socket accepted, String text) throws IOException {
		accepted.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	/** Returns the identifier of the next request; empty for a health query. */
	private static String readId(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			int next = input.read();
			if (next < 0) {
				throw new IOException("end of the connection");
			}
			head.append((char) next);
		}
		int field = head.indexOf("Request-Id: ");
		if (field < 0) {
			return "";
		}
		int start = field + "Request-Id: ".length();
		return head.substring(start, head.indexOf("\r\n", start));
	}

}
