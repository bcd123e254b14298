package org.eelgrasspitch.scenarios;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.eelgrasspitch.node.RouteReport;
import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.HttpCaller.CallResponse;
import org.eelgrasspitch.testkit.Json;
import org.testng.Assert;

/**
 * Steps that rename and remove services while every node's routes are read all the time.
 */
public class ChangeSteps {

	private static final int KILLED_AT = 6;

	private static final int PAUSED_AT = 12;

	private static final int RESUMED_AT = 18;

	private static final int READS_PER_CHANGE = 6;

	private static final long READ_PAUSE_MILLIS = 30;

	private static final String VICTIM = "vm-002";

	private static final String SLEEPER = "vm-005";

	private final World world = Worlds.current();

	/** Routes that led nowhere. */
	private final List<String> dangling = new ArrayList<>();

	/** Name of the VM whose node is paused; empty when none is. */
	private String asleep = "";

	/** Route lists read. */
	private int read;

	@When("the operators rename, remove and restore a service {int} times while a node dies and another sleeps")
	public void reshape(int times) {
		World.Shape[] shapes = World.Shape.values();
		for (int index = 0; index < times; index++) {
			this.world.publishShape(shapes[index % shapes.length]);
			fault(index);
			for (int round = 0; round < READS_PER_CHANGE; round++) {
				this.world.cluster().vms().forEach(this::readRoutes);
				Cluster.sleep(READ_PAUSE_MILLIS);
			}
		}
	}

	@When("an operator publishes a change written against another text")
	public void race() {
		this.world.publishRaced();
	}

	@Then("at least {int} node(s) reported the race")
	public void raceReported(int least) {
		double reports = this.world.metric("eelgrasspitch_events_total", "event=\"base_mismatch\"");
		Assert.assertTrue(reports >= least, reports + " reports");
	}

	@Then("no node ever had a route to a service that it lacked")
	public void noneDangling() {
		Assert.assertTrue(this.read > 0, "no routes were read");
		Assert.assertEquals(this.dangling, List.of());
	}

	private void fault(int index) {
		switch (index) {
			case KILLED_AT -> {
				this.world.cluster().node(VICTIM).kill();
				this.world.cluster().startNode(VICTIM);
			}
			case PAUSED_AT -> {
				this.asleep = SLEEPER;
				this.world.cluster().node(SLEEPER).pause();
			}
			case RESUMED_AT -> {
				this.world.cluster().node(SLEEPER).resume();
				this.asleep = "";
			}
			default -> {
				// Only the change itself.
			}
		}
	}

	private void readRoutes(String vm) {
		if (vm.equals(this.asleep)) {
			return;
		}
		Optional<CallResponse> answer = this.world.caller().get(this.world.operatorPort(vm), "/routes");
		if (answer.isEmpty()) {
			return;
		}
		Assert.assertEquals(answer.get().status(), 200, new String(answer.get().body(), StandardCharsets.UTF_8));
		this.read++;
		RouteReport report = Json.read(answer.get().body(), RouteReport.class);
		Set<String> services = Set.copyOf(report.services());
		for (RouteReport.RouteRow row : report.routes()) {
			if (!services.contains(row.service()) || !services.containsAll(row.dependsOn())) {
				this.dangling.add(vm + " at " + report.revision() + ": " + row);
			}
		}
	}

}
