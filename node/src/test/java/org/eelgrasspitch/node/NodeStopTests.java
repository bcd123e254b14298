package org.eelgrasspitch.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.text.RouteKey;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/**
 * A node that stops and still owes answers.
 */
public class NodeStopTests {

	/** The shortest time that a node takes to stop. */
	private static final int MIN_STOP_MILLIS = 1_000;

	/** Service time of a target that ends one request in the time to stop. */
	private static final int SERVICE_MILLIS = 1_500;

	/** Longer than any stop here. */
	private static final int LONG_MILLIS = 6_000;

	/** How long the report of a death waits for other nodes. */
	private static final int REPORT_MILLIS = 1_000;

	/** Half the time to stop of a node that has nothing to wait for. */
	private static final int MAX_IDLE_STOP_MILLIS = LONG_MILLIS / 2;

	private static final int MAX_ANSWER_BYTES = 1_000_000;

	private static final int SLOW_ANSWERS = 12;

	/** Time in which a request reaches the node. */
	private static final int ARRIVE_MILLIS = 300;

	private StoppingNode node;

	@AfterMethod(alwaysRun = true)
	public void close() {
		if (this.node != null) {
			this.node.close();
		}
	}

	// The caller's connection was closed without a response.
	@Test
	public void requestInProgressAtTheEndIsToldNothing() throws Exception {
		this.node = new StoppingNode(0, false);
		this.node.targetMillis = LONG_MILLIS;
		CompletableFuture<String> response = this.node.request("GET", StoppingNode.READ, "q1");
		pause(ARRIVE_MILLIS);
		this.node.leave();
		assertResponse(response, "504", "Request-Ran: unknown");
	}

	// A request that the target has certainly not got was not refused.
	@Test
	public void waitingRequestIsNotRefusedAtTheEnd() throws Exception {
		this.node = new StoppingNode(0, false);
		this.node.targetMillis = LONG_MILLIS;
		this.node.request("GET", StoppingNode.READ, "q1");
		pause(ARRIVE_MILLIS);
		CompletableFuture<String> response = this.node.request("GET", StoppingNode.READ, "q2");
		pause(ARRIVE_MILLIS);
		this.node.leave();
		assertResponse(response, "503", "Request-Ran: no");
	}

	// It got the slot of the one before it when too little time was left, and was cut
	// off.
	@Test
	public void waitingRequestIsStartedThoughItOutlastsTheNode() throws Exception {
		this.node = new StoppingNode(2 * SERVICE_MILLIS - 3 * ARRIVE_MILLIS, false);
		this.node.targetMillis = SERVICE_MILLIS;
		assertResponse(this.node.request("GET", StoppingNode.READ, "q0"), "200", "");
		CompletableFuture<String> first = this.node.request("GET", StoppingNode.READ, "q1");
		pause(ARRIVE_MILLIS);
		CompletableFuture<String> second = this.node.request("GET", StoppingNode.READ, "q2");
		pause(ARRIVE_MILLIS);
		this.node.leave();
		assertResponse(first, "200", "");
		assertResponse(second, "503", "Request-Ran: no");
	}

	// The entry node of such a request saw only that the connection ended.
	@Test
	public void waitingRequestOfAnotherNodeIsNotRefusedAtTheEnd() throws Exception {
		this.node = new StoppingNode(0, false);
		this.node.targetMillis = LONG_MILLIS;
		this.node.request("GET", StoppingNode.READ, "q1");
		pause(ARRIVE_MILLIS);
		CompletableFuture<CallMessage> reply = this.node.call(read("q2"));
		pause(ARRIVE_MILLIS);
		this.node.leave();
		Assert.assertTrue(outcome(reply) instanceof CallOutcome.NotRun notRun && notRun.reason() == Reason.LEAVING,
				"outcome: " + outcome(reply));
	}

	// The home of the ticket has not answered the connection, so nothing was sent to it.
	@Test
	public void paymentThatWasNotSentIsNotRefusedAtTheEnd() throws Exception {
		assertResponse(payAtTheEnd(1), "503", "Request-Ran: no");
	}

	// What became of the first attempt is not known here.
	@Test
	public void resentPaymentIsSaidNotToHaveRunAtTheEnd() throws Exception {
		assertResponse(payAtTheEnd(2), "504", "Request-Ran: unknown");
	}

	// The nodes of the service do not respond, which is known after three attempts.
	@Test
	public void ticketQueryIsCutOff() throws Exception {
		this.node = new StoppingNode(LONG_MILLIS, false);
		CompletableFuture<String> response = this.node.request("POST", StoppingNode.FAR_TICKETS, "t1");
		pause(ARRIVE_MILLIS / 3);
		this.node.leave();
		assertResponse(response, "503", "Request-Ran: no");
	}

	// The home of the ticket does not respond, which is known after a second.
	@Test
	public void outcomeQueryIsCutOff() throws Exception {
		this.node = new StoppingNode(LONG_MILLIS, false);
		this.node.leave();
		pause(MIN_STOP_MILLIS / 2);
		CompletableFuture<String> response = this.node.request("GET", "/-/outcomes/" + this.node.farTicket(), "o1");
		assertResponse(response, "504", "Request-Ran: unknown");
	}

	// The report waits a second for the other node of the service, which does not
	// respond.
	@Test
	public void reportOfADeathIsBrokenOffAndItsReplyMayBeLost() throws Exception {
		this.node = new StoppingNode(LONG_MILLIS, true);
		this.node.targetMillis = MIN_STOP_MILLIS;
		this.node.targetHangsUp = true;
		long sentAt = System.nanoTime();
		CompletableFuture<CallMessage> reply = this.node.call(read("crash"));
		pause(ARRIVE_MILLIS);
		this.node.leave();
		Assert.assertTrue(
				outcome(reply) instanceof CallOutcome.Unknown unknown && unknown.reason() == Reason.ANSWER_LOST,
				"outcome: " + outcome(reply));
		long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
		Assert.assertTrue(tookMillis >= MIN_STOP_MILLIS + REPORT_MILLIS, "broken off after " + tookMillis + " ms");
	}

	// The responses were handed over, more than the buffers of the system hold, but the
	// caller takes them slowly.
	@Test
	public void responseIsCutOffWhileItIsWritten() throws Exception {
		this.node = new StoppingNode(LONG_MILLIS, false);
		this.node.answer = new byte[MAX_ANSWER_BYTES];
		CompletableFuture<Long> received = this.node.slowReads(SLOW_ANSWERS, 2 * MIN_STOP_MILLIS);
		pause(2 * MIN_STOP_MILLIS);
		this.node.leave();
		long bytes = received.get(2 * LONG_MILLIS, TimeUnit.MILLISECONDS);
		Assert.assertTrue(bytes > SLOW_ANSWERS * MAX_ANSWER_BYTES, "bytes: " + bytes);
	}

	// The replies were handed to a connection whose other side reads a second later.
	@Test
	public void repliesToAnotherNodeAreCutOffWhileTheyAreWritten() throws Exception {
		this.node = new StoppingNode(LONG_MILLIS, false);
		this.node.answer = new byte[MAX_ANSWER_BYTES];
		List<CallMessage> calls = IntStream.rangeClosed(1, SLOW_ANSWERS).mapToObj(NodeStopTests::numberedRead).toList();
		CompletableFuture<Integer> replies = this.node.slowCalls(calls, 3 * MIN_STOP_MILLIS);
		pause(2 * MIN_STOP_MILLIS);
		this.node.leave();
		Assert.assertEquals(replies.get(2 * LONG_MILLIS, TimeUnit.MILLISECONDS), Integer.valueOf(SLOW_ANSWERS));
	}

	// A response that cannot be written is not awaited until the end of the time.
	@Test
	public void stopWaitsForCallersThatAreGone() throws Exception {
		this.node = new StoppingNode(LONG_MILLIS, false);
		this.node.targetMillis = ARRIVE_MILLIS;
		this.node.abandonedRequest(StoppingNode.READ, ARRIVE_MILLIS / 3);
		this.node.leave().get(MAX_IDLE_STOP_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Test
	public void stopWaitsForResponsesWithoutABody() throws Exception {
		this.node = new StoppingNode(LONG_MILLIS, false);
		this.node.answer = new byte[0];
		assertResponse(this.node.request("GET", StoppingNode.READ, "q1"), "200", "Request-Ran: yes");
		assertResponse(this.node.request("GET", "/-/outcomes/none", "o1"), "400", "Content-Length");
		this.node.leave().get(MAX_IDLE_STOP_MILLIS, TimeUnit.MILLISECONDS);
	}

	private CompletableFuture<String> payAtTheEnd(int attempt) throws Exception {
		this.node = new StoppingNode(0, false);
		CompletableFuture<String> response = this.node.request("POST", StoppingNode.FAR_PAY, "p1",
				"Request-Ticket: " + this.node.farTicket(), "Request-Attempt: " + attempt);
		pause(ARRIVE_MILLIS);
		this.node.leave();
		return response;
	}

	private static CallMessage.Request read(String id) {
		return new CallMessage.Request(1, id, new RouteKey("desk", "read"), 2 * LONG_MILLIS, Optional.empty(),
				Optional.of(Digest.of(id.getBytes())), List.of(), new byte[0], 1);
	}

	private static CallMessage numberedRead(int call) {
		return new CallMessage.Request(call, "slow-" + call, new RouteKey("desk", "read"), 2 * LONG_MILLIS,
				Optional.empty(), Optional.empty(), List.of(), new byte[0], 1);
	}

	private static CallOutcome outcome(CompletableFuture<CallMessage> reply) throws Exception {
		CallMessage message = reply.get(2 * LONG_MILLIS, TimeUnit.MILLISECONDS);
		return (message instanceof CallMessage.Reply got) ? got.outcome() : null;
	}

	private static void assertResponse(CompletableFuture<String> response, String status, String header)
			throws Exception {
		String text = response.get(2 * LONG_MILLIS, TimeUnit.MILLISECONDS);
		Assert.assertTrue(text.startsWith("HTTP/1.1 " + status), "response: " + text);
		Assert.assertTrue(text.toLowerCase().contains(header.toLowerCase()), "response: " + text);
	}

	private static void pause(long millis) throws InterruptedException {
		TimeUnit.MILLISECONDS.sleep(millis);
	}

}
