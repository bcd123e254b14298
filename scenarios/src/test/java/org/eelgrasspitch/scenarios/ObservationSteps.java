package org.eelgrasspitch.scenarios;

import java.io.IOException;

import io.cucumber.java.en.Then;
import org.testng.Assert;

/**
 * Steps that read what a node or the store shows of itself.
 */
public class ObservationSteps {

	@Then("the beliefs of {word} say {string}")
	public void beliefs(String vm, String part) throws IOException {
		String beliefs = PlatformWorlds.current().observed(vm, "/beliefs");
		Assert.assertTrue(beliefs.contains(part), beliefs);
	}

	@Then("the metrics of {word} say {string}")
	public void metrics(String vm, String line) throws IOException {
		String metrics = PlatformWorlds.current().observed(vm, "/metrics");
		Assert.assertTrue(metrics.lines().anyMatch(line::equals), metrics);
	}

	@Then("the store was called at most {int} times")
	public void calls(int most) {
		Assert.assertTrue(PlatformWorlds.current().store().calls() <= most,
				"calls: " + PlatformWorlds.current().store().calls());
	}

}
