package org.eelgrasspitch.scenarios;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.HttpCaller;
import org.eelgrasspitch.testkit.HttpCaller.CallResponse;
import org.eelgrasspitch.testkit.HttpCaller.CallSpec;
import org.eelgrasspitch.testkit.Json;
import org.eelgrasspitch.testkit.TargetStandIn;
import org.testng.Assert;

/**
 * Steps that start a mesh, call it, and act on processes.
 */
public class Steps {

	private static final long START_MILLIS = 30_000;

	private static final long MILLIS_PER_SECOND = 1_000;

	private final World world = Worlds.current();

	private Optional<CallResponse> answer = Optional.empty();

	@Given("a mesh of {int} nodes in {int} failure domains")
	public void mesh(int nodes, int failureDomains) {
		this.world.start(nodes, failureDomains, "");
		this.world.requireServing(START_MILLIS);
	}

	@Given("a mesh of {int} nodes in {int} failure domains with settings {string}")
	public void meshWithSettings(int nodes, int failureDomains, String settings) {
		this.world.start(nodes, failureDomains, settings.replace('\'', '"'));
		this.world.requireServing(START_MILLIS);
	}

	@When("a caller asks node {word} for {word} of {word}")
	public void call(String vm, String operation, String service) {
		this.answer = this.world.caller().call(this.world.callerPort(vm), CallSpec.of(service, operation, "request-1"));
	}

	@Then("the caller gets the whole answer to its own request")
	public void ownAnswer() {
		CallResponse got = this.answer.orElseThrow(() -> new AssertionError("no answer"));
		Assert.assertEquals(got.status(), 200);
		Assert.assertEquals(got.requestId().orElse(""), "request-1");
		Assert.assertEquals(Json.read(got.body(), TargetStandIn.Answer.class).requestId(), "request-1");
		Assert.assertTrue(got.version().isPresent(), "the answer names its configuration version");
	}

	@When("the operators publish a change")
	public void change() {
		this.world.publishChange();
	}

	@Then("within {int} seconds every node holds the latest revision")
	public void everyNodeHolds(int seconds) {
		holds(this.world.alive(), seconds);
	}

	@Then("within {int} seconds every node of {word} holds the latest revision")
	public void domainHolds(int seconds, String failureDomain) {
		holds(this.world.vmsOf(failureDomain), seconds);
	}

	@Then("within {int} seconds every node is {word}")
	public void everyNodeIs(int seconds, String state) {
		List<String> open = this.world.cluster()
			.await(this.world.cluster().vms(), seconds * MILLIS_PER_SECOND, (status) -> status.state().equals(state));
		Assert.assertTrue(open.isEmpty(), open + " are not " + state);
	}

	@When("node {word} is killed")
	public void kill(String vm) {
		this.world.cluster().node(vm).kill();
	}

	@When("node {word} is started again")
	public void startAgain(String vm) {
		this.world.cluster().startNode(vm);
	}

	@When("node {word} is paused")
	public void pause(String vm) {
		this.world.cluster().node(vm).pause();
	}

	@When("node {word} is resumed")
	public void resume(String vm) {
		this.world.cluster().node(vm).resume();
	}

	@When("{int} seconds pass")
	public void pass(int seconds) {
		Cluster.sleep(seconds * MILLIS_PER_SECOND);
	}

	@Then("{int} lookups through every other node than {word} are answered")
	public void lookups(int count, String dead) {
		lookUp(this.world.cluster().vms().stream().filter((vm) -> !vm.equals(dead)).toList(), "renewals", count);
	}

	@Then("{int} lookups of {word} through every node of {word} are answered")
	public void lookupsOf(int count, String service, String failureDomain) {
		lookUp(this.world.vmsOf(failureDomain), service, count);
	}

	@After
	public void end() {
		Worlds.end();
	}

	private void lookUp(List<String> vms, String service, int count) {
		List<String> failed = new ArrayList<>();
		for (String vm : vms) {
			for (int index = 0; index < count; index++) {
				String id = vm + "-" + index;
				Optional<CallResponse> got = this.world.caller()
					.call(this.world.callerPort(vm), CallSpec.of(service, "read", id));
				if (got.filter((response) -> response.status() == 200).isEmpty()) {
					failed.add(id + ": " + got.map(HttpCaller.CallResponse::status));
				}
			}
		}
		Assert.assertTrue(failed.isEmpty(), "not answered: " + failed);
	}

	private void holds(List<String> vms, int seconds) {
		long latest = this.world.latest();
		List<String> open = this.world.cluster()
			.await(vms, seconds * MILLIS_PER_SECOND, (status) -> status.revision() == latest);
		Assert.assertTrue(open.isEmpty(), open + " do not hold revision " + latest);
	}

}
