package org.eelgrasspitch.scenarios;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.mesh.RawCaller;
import org.eelgrasspitch.testkit.mesh.RawCaller.Response;
import org.testng.Assert;

/**
 * Steps with requests that a target started and whose callers got no answer of it.
 */
public class GivenUpSteps {

	private static final long TIMEOUT_MILLIS = 3_000;

	/** Status that a node gives for a request that may have run. */
	private static final int GIVEN_UP = 502;

	private static final int OK = 200;

	private static final int NO_ANSWER = 0;

	/** Status that each caller got, or {@link #NO_ANSWER}, by request identifier. */
	private final Map<String, Integer> statuses = new ConcurrentHashMap<>();

	private final List<Thread> callers = new ArrayList<>();

	@When("the node at {word} is told to stop, and from {int} ms on callers at {word} send POST {word} every {int} ms until it has ended")
	public void sendUntilEnd(String stopped, int fromMillis, String vm, String path, int intervalMillis) {
		PlatformWorld world = PlatformWorlds.current();
		Thread stop = Thread.ofVirtual().start(() -> world.node(stopped).leave());
		Cluster.sleep(fromMillis);
		while (stop.isAlive()) {
			String id = "given-up-" + this.callers.size();
			this.callers.add(Thread.ofVirtual().start(() -> send(world, vm, path, id)));
			Cluster.sleep(intervalMillis);
		}
		this.callers.forEach(GivenUpSteps::join);
	}

	@Then("{int} requests POST {word} from {word}, read after {int} ms, get status 200 with {int} bytes")
	public void whole(int count, String path, String vm, int millis, int bytes) throws IOException {
		List<String> wrong = new ArrayList<>();
		int answered = 0;
		for (int i = 0; i < count; i++) {
			try (RawCaller caller = PlatformWorlds.current().caller(vm)) {
				caller.request("POST", PlatformSteps.HOST, path, "whole-" + i, TIMEOUT_MILLIS, "pay me");
				Cluster.sleep(millis);
				Response response = caller.read();
				boolean whole = response.status() == OK && response.whole() && response.body().length() == bytes;
				answered += whole ? 1 : 0;
				// A target that ends a connection unannounced may do so as the next
				// request is sent on it. It does not get that request.
				if (!whole && hasReceived("whole-" + i)) {
					wrong.add("whole-" + i + ": " + response.status() + " with " + response.body().length());
				}
			}
		}
		Assert.assertEquals(wrong, List.of(), wrong.size() + " of " + count);
		Assert.assertTrue(answered * 2 > count, answered + " of " + count + " got the whole answer");
	}

	private static boolean hasReceived(String id) {
		return PlatformWorlds.current()
			.servers()
			.stream()
			.flatMap((server) -> server.received().stream())
			.anyMatch((received) -> id.equals(received.header("x-request-id")));
	}

	@When("a caller at {word} sends POST {word} {int} times, each followed by POST {word} after {int} ms")
	public void followed(String vm, String path, int times, String followingPath, int millis) {
		PlatformWorld world = PlatformWorlds.current();
		for (int i = 0; i < times; i++) {
			send(world, vm, path, "first-" + i);
			Cluster.sleep(millis);
			send(world, vm, followingPath, "following-" + i);
		}
	}

	@When("a caller at {word} sends POST {word}, and after {int} ms the node at {word} dies")
	public void nodeDies(String vm, String path, int millis, String dying) {
		PlatformWorld world = PlatformWorlds.current();
		this.callers.add(Thread.ofVirtual().start(() -> send(world, vm, path, "dying")));
		Cluster.sleep(millis);
		world.node(dying).close();
	}

	@Then("after {int} ms the server at {word} has run it to its end")
	public void ranToItsEnd(int millis, String vm) {
		Cluster.sleep(millis);
		Assert.assertEquals(PlatformWorlds.current().server(vm).received().size(), 1, "started");
		Assert.assertEquals(PlatformWorlds.current().server(vm).cutOff(), List.of(), "cut off");
	}

	@Then("no request that started at {word} ended with status 502 or without an answer")
	public void noneGivenUp(String vm) {
		Set<String> started = PlatformWorlds.current()
			.server(vm)
			.received()
			.stream()
			.map((request) -> request.header("x-request-id"))
			.collect(Collectors.toSet());
		List<String> givenUp = this.statuses.entrySet()
			.stream()
			.filter((ended) -> ended.getValue() == GIVEN_UP || ended.getValue() == NO_ANSWER)
			.map(Map.Entry::getKey)
			.filter(started::contains)
			.sorted()
			.toList();
		Map<Integer, Long> byStatus = this.statuses.values()
			.stream()
			.collect(Collectors.groupingBy((status) -> status, Collectors.counting()));
		Assert.assertFalse(this.statuses.isEmpty(), "requests were sent");
		Assert.assertEquals(PlatformWorlds.current().server(vm).cutOff(), List.of(), "runs cut off");
		Assert.assertEquals(givenUp, List.of(),
				givenUp.size() + " given up; callers by status: " + byStatus + "; started: " + started.size());
	}

	private void send(PlatformWorld world, String vm, String path, String id) {
		this.statuses.put(id, NO_ANSWER);
		try (RawCaller caller = world.caller(vm)) {
			caller.request("POST", PlatformSteps.HOST, path, id, TIMEOUT_MILLIS, "pay me");
			Response response = caller.read();
			this.statuses.put(id, response.whole() ? response.status() : NO_ANSWER);
		}
		catch (IOException ex) {
			// The request stays recorded as not answered.
			return;
		}
	}

	private static void join(Thread thread) {
		try {
			thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
