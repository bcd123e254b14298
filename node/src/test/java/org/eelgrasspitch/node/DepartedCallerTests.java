package org.eelgrasspitch.node;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Callers that leave while their requests wait. The target of the node has one slot.
 */
public class DepartedCallerTests {

	private static final long TARGET_MILLIS = 1_500;

	private static final long STAY_MILLIS = 150;

	private static final int CALLERS = 4;

	// Nothing noticed that a caller had left, so its request ran when its turn came.
	@Test
	public void waitingRequestOfADepartedCallerReachesNoTarget() throws Exception {
		try (StoppingNode node = new StoppingNode(1_000, false)) {
			node.targetMillis = TARGET_MILLIS;
			CompletableFuture<String> first = node.request("GET", StoppingNode.READ, "first");
			TimeUnit.MILLISECONDS.sleep(STAY_MILLIS);
			for (int i = 0; i < CALLERS; i++) {
				node.abandonedRequest(StoppingNode.READ, STAY_MILLIS);
			}
			Assert.assertTrue(first.join().startsWith("HTTP/1.1 200"), first.join());
			node.targetMillis = 0;
			String last = node.request("GET", StoppingNode.READ, "last").join();
			Assert.assertTrue(last.startsWith("HTTP/1.1 200"), last);
			Assert.assertEquals(node.received(), List.of("first", "last"));
		}
	}

	@Test
	public void runningRequestOfADepartedCallerIsCancelled() throws Exception {
		try (StoppingNode node = new StoppingNode(1_000, false)) {
			node.targetMillis = 2 * TARGET_MILLIS;
			node.abandonedRequest(StoppingNode.READ, STAY_MILLIS);
			long before = System.nanoTime();
			node.targetMillis = 0;
			String next = node.request("GET", StoppingNode.READ, "next").join();
			Assert.assertTrue(next.startsWith("HTTP/1.1 200"), next);
			long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before);
			Assert.assertTrue(waitedMillis < 500, "waited " + waitedMillis + " ms for the slot of a departed caller");
		}
	}

}
