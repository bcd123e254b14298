package org.eelgrasspitch.scenarios;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.mesh.Documents;
import org.eelgrasspitch.testkit.mesh.RawCaller;
import org.testng.Assert;

/**
 * Steps with servers whose responses stop before their end.
 */
public class StoppingResponseSteps {

	/** Later than the versions that {@link PlatformWorld} publishes. */
	private static final long VERSION = 1_000;

	private static final long TIMEOUT_MILLIS = 6_000;

	private static final long APPLY_MILLIS = 500;

	private RawCaller caller;

	private long sentAt;

	@Given("a route {word} that allows {int} s")
	public void patientRoute(String prefix, int seconds) {
		String rules = Documents.rule("/desk/", "idempotent", 2, "\"service\":\"desk\"") + ","
				+ Documents.rule(prefix, "idempotent", 2, "\"service\":\"desk\"")
					.replace("\"timeout_s\":2", "\"timeout_s\":" + seconds);
		PlatformWorlds.current().store().put("op/config", Documents.config(VERSION, rules, "desk", "pay"));
		Cluster.sleep(APPLY_MILLIS);
	}

	@When("a requester at {word} pipelines {}")
	public void pipeline(String vm, String requests) throws IOException {
		this.caller = PlatformWorlds.current().caller(vm);
		this.sentAt = System.nanoTime();
		for (String request : requests.split(", ")) {
			String[] words = request.split(" ");
			this.caller.request(words[0], PlatformSteps.HOST, words[1], "stops" + words[1].replace('/', '-'),
					TIMEOUT_MILLIS, "");
		}
	}

	@Then("it gets the statuses {int} {int} within {int} ms")
	public void statuses(int first, int second, int millis) throws IOException {
		List<Integer> statuses = new ArrayList<>();
		statuses.add(this.caller.read().status());
		statuses.add(this.caller.read().status());
		long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.sentAt);
		Assert.assertEquals(statuses, List.of(first, second));
		Assert.assertTrue(tookMillis <= millis, "took " + tookMillis + " ms");
	}

}
