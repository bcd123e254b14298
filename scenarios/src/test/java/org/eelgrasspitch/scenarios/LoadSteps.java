package org.eelgrasspitch.scenarios;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.eelgrasspitch.request.RetryBudget;
import org.eelgrasspitch.testkit.BrokenTarget;
import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.HttpCaller.CallResponse;
import org.eelgrasspitch.testkit.HttpCaller.CallSpec;
import org.eelgrasspitch.testkit.JavaProcess;
import org.eelgrasspitch.testkit.LoadGenerator;
import org.testng.Assert;

/**
 * Steps with many callers at once, with targets that leave, break or crash, and with
 * random faults from a fixed seed.
 */
public class LoadSteps {

	private static final long SEED = 20_261_203;

	private static final long CALLER_TIMEOUT_MILLIS = 12_000;

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final int PERCENT = 100;

	private static final long CHAIN_START_MILLIS = 60_000;

	private final World world = Worlds.current();

	private LoadGenerator load;

	private final List<BrokenTarget> broken = new ArrayList<>();

	private int receivedBefore;

	/** Answers to the request that crashes targets. */
	private final List<Optional<CallResponse>> crashAnswers = new ArrayList<>();

	@Given("callers look up and pay all the time")
	public void callers() {
		List<LoadGenerator.Flow> flows = new ArrayList<>();
		for (int index = 0; index < 4; index++) {
			flows.add(new LoadGenerator.Flow("renewals", "pay", true, 10));
			flows.add(new LoadGenerator.Flow("renewals", "read", false, 10));
			flows.add(new LoadGenerator.Flow("archive", "read", false, 10));
		}
		startLoad(flows);
	}

	@Given("{int} callers look up and {int} callers pay as fast as they can")
	public void busyCallers(int lookups, int payers) {
		List<LoadGenerator.Flow> flows = new ArrayList<>();
		for (int index = 0; index < lookups; index++) {
			flows.add(new LoadGenerator.Flow("renewals", "read", false, 20));
		}
		for (int index = 0; index < payers; index++) {
			flows.add(new LoadGenerator.Flow("renewals", "pay", true, 0));
		}
		startLoad(flows);
	}

	@Given("a chain of {int} services in {int} failure domains")
	public void chain(int length, int failureDomains) {
		List<String> services = chainServices(length);
		this.world.startChain(services, failureDomains);
		this.world.requireServing(CHAIN_START_MILLIS);
	}

	@When("{int} callers call the first of {int} services for {int} seconds")
	public void callChain(int callers, int length, int seconds) {
		List<LoadGenerator.Flow> flows = new ArrayList<>();
		for (int index = 0; index < callers; index++) {
			flows.add(new LoadGenerator.Flow(chainServices(length).get(0), "read", false, 20));
		}
		startLoad(flows);
		Cluster.sleep(seconds * MILLIS_PER_SECOND);
		this.load.stop();
	}

	@When("the last of {int} services refuses everything")
	public void lastRefuses(int length) {
		String last = chainServices(length).get(length - 1);
		this.world.vmsOfService(last).forEach((vm) -> this.world.target(vm).drain(true));
	}

	@Then("none of {int} services got more than {int} percent of the callers' requests")
	public void chainLoad(int length, int percent) {
		int requests = this.load.outcomes().values().stream().mapToInt(Integer::intValue).sum();
		int saved = (int) RetryBudget.MAX_SAVED_RETRIES * this.world.cluster().vms().size() / length;
		List<String> reached = new ArrayList<>();
		for (String service : chainServices(length)) {
			int got = this.world.reached(service);
			reached.add(service + ": " + got);
			Assert.assertTrue(got <= requests * percent / PERCENT + saved, requests + " requests, reached " + reached);
		}
		Assert.assertTrue(requests > 0 && this.world.reached(chainServices(length).get(length - 2)) > 0,
				"the load came down the chain: " + reached);
	}

	@When("for {int} seconds nodes are killed, paused and cut off at random")
	public void chaos(int seconds) {
		SplittableRandom random = new SplittableRandom(SEED);
		long endAt = System.nanoTime() + seconds * 1_000_000_000L;
		List<String> vms = this.world.cluster().vms();
		while (System.nanoTime() < endAt) {
			String vm = vms.get(random.nextInt(vms.size()));
			switch (random.nextInt(4)) {
				case 0 -> {
					this.world.cluster().node(vm).kill();
					this.world.cluster().startNode(vm);
				}
				case 1 -> pauseAWhile(vm, 1_500);
				case 2 -> cutAWhile(random.nextInt(3) + 1, random.nextBoolean());
				default -> this.world.publishChange();
			}
			Cluster.sleep(500);
		}
	}

	@When("the callers stop")
	public void stopLoad() {
		this.load.stop();
	}

	@Then("no request ran twice that must not")
	public void noneTwice() {
		for (Map.Entry<String, Integer> entry : this.world.starts().entrySet()) {
			boolean payment = entry.getKey().startsWith("renewals-pay-");
			Assert.assertTrue(!payment || entry.getValue() <= 1,
					entry.getKey() + " ran " + entry.getValue() + " times");
		}
	}

	@Then("every answered payment ran, and no refused request did")
	public void truthful() {
		Set<String> started = this.world.starts().keySet();
		List<String> unpaid = this.load.paid().stream().filter((id) -> !started.contains(id)).toList();
		Assert.assertEquals(unpaid, List.of(), "answered without a run");
		List<String> lies = this.load.refused().stream().filter(started::contains).toList();
		Assert.assertEquals(lies, List.of(), "refused as not run, but ran");
		Assert.assertFalse(this.load.paid().isEmpty(), "no payment was answered");
	}

	@Then("every answer belonged to its own request and was whole")
	public void wholeAnswers() {
		List<String> violations = this.load.violations();
		Assert.assertTrue(violations.isEmpty(), String.join("\n", violations));
	}

	@Then("callers were answered at least {int} times")
	public void answeredAtLeast(int least) {
		int answered = this.load.outcomes()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().endsWith(" answered"))
			.mapToInt(Map.Entry::getValue)
			.sum();
		Assert.assertTrue(answered >= least, "answered: " + this.load.outcomes());
	}

	@Then("at least {int} percent of payments were answered")
	public void paymentsAnswered(int percent) {
		int answered = outcomes("renewals/pay", true);
		int others = outcomes("renewals/pay", false);
		Assert.assertTrue(answered * 100 >= percent * (answered + others), this.load.outcomes().toString());
	}

	@Then("at least {int} lookups were shed")
	public void lookupsShed(int least) {
		Assert.assertTrue(outcomes("renewals/read", false) >= least, this.load.outcomes().toString());
	}

	@When("the target of {word} begins to drain")
	public void drain(String vm) {
		this.world.target(vm).drain(true);
	}

	@Then("the target of {word} gets no request within {int} seconds")
	public void getsNothing(String vm, int seconds) {
		int before = this.world.target(vm).receivedWhileDraining();
		Cluster.sleep(seconds * MILLIS_PER_SECOND);
		Assert.assertEquals(this.world.target(vm).receivedWhileDraining() - before, 0, "requests at a leaving target");
	}

	@When("the target of {word} states {string} as {string}")
	public void state(String vm, String field, String value) {
		this.world.target(vm).state(Map.of(field, value));
	}

	@Then("the target of {word} gets at least {int} and at most {int} requests within {int} seconds")
	public void getsBetween(String vm, int least, int most, int seconds) {
		int before = this.world.target(vm).received();
		Cluster.sleep(seconds * MILLIS_PER_SECOND);
		int received = this.world.target(vm).received() - before;
		Assert.assertTrue(received >= least && received <= most, "requests: " + received);
	}

	@Given("the target of {word} breaks off every answer but says it is healthy")
	public void breakTarget(String vm) {
		this.world.target(vm).close();
		this.broken.add(new BrokenTarget(this.world.cluster().deployment().member(vm).settings().targetAddress()));
	}

	@Given("every target of {word} breaks off every answer but says it is healthy")
	public void breakTargets(String service) {
		this.world.vmsOfService(service).forEach(this::breakTarget);
	}

	@When("the targets of {word} work again")
	public void mendTargets(String service) {
		this.broken.forEach(BrokenTarget::close);
		this.broken.clear();
		this.world.vmsOfService(service).forEach(this.world::startTarget);
	}

	@When("the broken target's requests are counted from now")
	public void countBroken() {
		this.receivedBefore = received();
	}

	@Then("the broken target(s) got at most {int} requests since")
	public void brokenGot(int most) {
		int received = received() - this.receivedBefore;
		Assert.assertTrue(received <= most, "the broken target got " + received + " requests");
	}

	@Given("targets are processes of their own")
	public void targetProcesses() {
		this.world.replaceTargetsByProcesses();
	}

	@When("a caller sends a lookup that crashes its target through node {word}")
	public void crash(String vm) {
		CallSpec spec = new CallSpec("renewals", "read", "deadly-1", Optional.empty(), 1, new byte[] { 1 }, true);
		this.crashAnswers.add(this.world.caller().call(this.world.callerPort(vm), spec));
	}

	@Then("at most {int} targets have crashed")
	public void crashed(int most) {
		List<JavaProcess> dead = this.world.deadTargets();
		Assert.assertTrue(dead.size() <= most, "crashed: " + dead);
		Assert.assertFalse(dead.isEmpty(), "no target crashed: the request did not reach any");
	}

	@Then("each of its callers got a final answer")
	public void finalAnswers() {
		for (Optional<CallResponse> answer : this.crashAnswers) {
			Assert.assertEquals(answer.flatMap(CallResponse::ran).orElse("none"), "unknown");
		}
	}

	@Then("retries of all nodes were at most {int} percent of requests")
	public void retryShare(int percent) {
		double retries = this.world.metric("eelgrasspitch_retries_total", "");
		double requests = this.world.metric("eelgrasspitch_requests_total", "");
		double saved = 10.0 * this.world.cluster().vms().size();
		Assert.assertTrue(retries <= requests * percent / 100 + saved, retries + " retries, " + requests + " requests");
	}

	@After
	public void close() {
		if (this.load != null) {
			this.load.close();
		}
		this.broken.forEach(BrokenTarget::close);
	}

	private static List<String> chainServices(int length) {
		return IntStream.rangeClosed(1, length).mapToObj((number) -> "step-" + number).toList();
	}

	private int received() {
		return this.broken.stream().mapToInt(BrokenTarget::received).sum();
	}

	private int outcomes(String operation, boolean answered) {
		return this.load.outcomes()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith(operation + " ")
					&& entry.getKey().endsWith(" answered") == answered)
			.mapToInt(Map.Entry::getValue)
			.sum();
	}

	private void startLoad(List<LoadGenerator.Flow> flows) {
		List<InetSocketAddress> nodes = this.world.cluster().vms().stream().map(this.world::callerPort).toList();
		this.load = new LoadGenerator(nodes, flows, CALLER_TIMEOUT_MILLIS);
		this.load.checkRefusals(this.world::hasStarted);
		this.load.start(SEED);
	}

	private void pauseAWhile(String vm, long millis) {
		this.world.cluster().node(vm).pause();
		Cluster.sleep(millis);
		this.world.cluster().node(vm).resume();
	}

	private void cutAWhile(int failureDomain, boolean both) {
		this.world.cut("fd-" + failureDomain, false);
		if (both) {
			this.world.cut("fd-" + failureDomain, true);
		}
		Cluster.sleep(2_000);
		this.world.links().heal();
	}

}
