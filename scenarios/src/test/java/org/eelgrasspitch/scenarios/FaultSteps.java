package org.eelgrasspitch.scenarios;

import java.util.List;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.text.Channel;
import org.testng.Assert;

/**
 * Steps that bring about faults of the platform, the network and processes, and check
 * what nodes hold afterwards.
 */
public class FaultSteps {

	private static final long MILLIS_PER_SECOND = 1_000;

	/** Time in which a reader that is between two watches begins the next. */
	private static final long WATCH_NANOS = 2_000_000_000;

	private final World world = Worlds.current();

	/** Platform calls when the present count began. */
	private long callsBefore;

	@Given("messages between nodes take {int} ms")
	public void delay(int millis) {
		this.world.links().delayMillis(millis);
	}

	@When("the platform has an outage")
	public void outage() {
		this.world.platform().outage(true);
	}

	@When("the platform is back")
	public void back() {
		this.world.platform().outage(false);
	}

	@When("the platform serves revision {int} again and stays there")
	public void serveOld(int revision) {
		this.world.platform().serveOld(Channel.TEXT, revision, this.world.textOf(revision));
	}

	@When("the platform answers after {int} ms")
	public void slow(int millis) {
		this.world.platform().delayMillis(millis);
	}

	@When("{word} is cut off from the platform")
	public void cutFromPlatform(String failureDomain) {
		this.world.vmsOf(failureDomain).forEach((vm) -> this.world.platform().cut(vm, true));
	}

	@When("the reader of {word} that watches the text is cut off from the platform")
	public void cutWatcher(String failureDomain) {
		long giveUpAt = System.nanoTime() + WATCH_NANOS;
		List<String> watching = watching(failureDomain);
		while (watching.isEmpty() && System.nanoTime() < giveUpAt) {
			watching = watching(failureDomain);
		}
		Assert.assertEquals(watching.size(), 1, "nodes of " + failureDomain + " that watch the text: " + watching);
		this.world.platform().cut(watching.get(0), true);
	}

	private List<String> watching(String failureDomain) {
		return this.world.vmsOf(failureDomain)
			.stream()
			.filter((vm) -> this.world.platform().isWatching(vm, Channel.TEXT))
			.toList();
	}

	@When("{word} is cut off from the other failure domains")
	public void cut(String failureDomain) {
		this.world.cut(failureDomain, true);
		this.world.cut(failureDomain, false);
	}

	@When("{word} hears nothing from the other failure domains")
	public void cutInbound(String failureDomain) {
		this.world.cut(failureDomain, false);
	}

	@When("the network heals")
	public void heal() {
		this.world.links().heal();
	}

	@When("all nodes are killed and started at once")
	public void herd() {
		restart(this.world.cluster().vms());
	}

	@When("all nodes of {word} are killed and started at once")
	public void herdOf(String failureDomain) {
		restart(this.world.vmsOf(failureDomain));
	}

	@When("both readers of {word} are killed")
	public void killReaders(String failureDomain) {
		List<String> readers = this.world.vmsOf(failureDomain)
			.stream()
			.filter((vm) -> this.world.cluster()
				.status(vm)
				.filter((status) -> status.role().equals("reader"))
				.isPresent())
			.toList();
		Assert.assertEquals(readers.size(), 2, "readers of " + failureDomain);
		readers.forEach((vm) -> {
			this.world.cluster().node(vm).kill();
			this.world.gone(vm);
		});
	}

	@When("all nodes are paused")
	public void pauseAll() {
		this.world.cluster().vms().forEach((vm) -> this.world.cluster().node(vm).pause());
	}

	@When("all nodes are resumed")
	public void resumeAll() {
		this.world.cluster().vms().forEach((vm) -> this.world.cluster().node(vm).resume());
	}

	@When("the operators publish {int} changes within a second")
	public void burst(int count) {
		for (int index = 0; index < count; index++) {
			this.world.publishChange();
			Cluster.sleep(MILLIS_PER_SECOND / count);
		}
	}

	@When("the operators publish a text that {}")
	public void publishBad(String fault) {
		this.world.publishBad(this.world.broken(fault));
	}

	@Then("within {int} seconds every node reports the bad revision")
	public void reportsBad(int seconds) {
		long bad = this.world.badRevision();
		List<String> open = this.world.cluster()
			.await(this.world.cluster().vms(), seconds * MILLIS_PER_SECOND,
					(status) -> status.rejectedRevision() == bad);
		Assert.assertTrue(open.isEmpty(), open + " do not report revision " + bad);
	}

	@Then("no node ever moved back")
	public void neverBack() {
		Assert.assertEquals(this.world.movedBack(), List.of(), "nodes that moved back");
	}

	@Then("some node moved back")
	public void someBack() {
		Assert.assertFalse(this.world.movedBack().isEmpty(), "without its guard no node moved back");
	}

	@Then("no node ever held the bad revision")
	public void neverBad() {
		long bad = this.world.badRevision();
		for (String vm : this.world.cluster().vms()) {
			Assert.assertFalse(this.world.acceptedRevisions(vm).contains(bad), vm + " took revision " + bad);
		}
	}

	@When("the platform's calls are counted from now")
	public void countCalls() {
		this.callsBefore = this.world.platform().counts().calls();
	}

	@Then("the platform got at most {int} calls")
	public void callsAtMost(int most) {
		long calls = this.world.platform().counts().calls() - this.callsBefore;
		Assert.assertTrue(calls <= most, "the platform got " + calls + " calls");
	}

	private void restart(List<String> vms) {
		vms.forEach((vm) -> this.world.cluster().node(vm).kill());
		vms.forEach((vm) -> this.world.cluster().startNode(vm));
	}

}
