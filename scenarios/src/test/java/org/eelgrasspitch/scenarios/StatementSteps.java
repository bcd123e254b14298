package org.eelgrasspitch.scenarios;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.cucumber.java.After;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.eelgrasspitch.scenarios.SteadyCallers.Sent;
import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.mesh.ServerStandIn;
import org.eelgrasspitch.testkit.mesh.ServerStandIn.Received;
import org.testng.Assert;

/**
 * Steps with servers that state in their answers what they take.
 */
public class StatementSteps {

	/** Time after which a limit must be kept; the platform's settle window. */
	private static final long SETTLE_MILLIS = 3_000;

	/** Length of the spans in which requests are counted. */
	private static final long SPAN_MILLIS = 4_000;

	/** Requests that a span may have for each one that the limit allows. */
	private static final double ALLOWED_FACTOR = 1.5;

	/** Requests that a span may have beyond that. */
	private static final int ALLOWED_EXTRA = 5;

	/** Time for which a leaving server may still get new requests. */
	private static final long DRAIN_MILLIS = 2_000;

	private static final long STEP_MILLIS = 100;

	private static final int OK = 200;

	private final SteadyCallers callers = new SteadyCallers();

	private double limitPerSecond;

	private long limitedAtMillis;

	@After
	public void close() {
		this.callers.stop();
	}

	@When("requesters at {word} keep sending GET {word} {int} times a second")
	public void keepSending(String vm, String path, int perSecond) {
		this.callers.start(PlatformWorlds.current(), vm, path, perSecond);
	}

	@When("the server at {word} names a limit of {double} a second")
	public void nameLimit(String vm, double perSecond) {
		this.limitPerSecond = perSecond;
		this.limitedAtMillis = ServerStandIn.now();
		PlatformWorlds.current().server(vm).state("Server-Limit: " + perSecond);
	}

	@When("the server at {word} states {string}")
	public void state(String vm, String field) {
		PlatformWorlds.current().server(vm).state(field);
	}

	@When("the server at {word} names no limit any more")
	public void nameNoLimit(String vm) {
		PlatformWorlds.current().server(vm).state();
	}

	@When("the server at {word} says that it is leaving")
	public void leave(String vm) {
		PlatformWorlds.current().server(vm).state("Server-Leaving: 1");
	}

	@Then("{int} s later the server at {word} has got no more than its limit allows")
	public void limitKept(int seconds, String vm) {
		Cluster.sleep(seconds * 1_000L);
		List<Long> arrivals = arrivals(vm);
		long allowed = (long) (ALLOWED_FACTOR * this.limitPerSecond * SPAN_MILLIS / 1_000) + ALLOWED_EXTRA;
		long now = ServerStandIn.now();
		for (long end = this.limitedAtMillis + SETTLE_MILLIS; end <= now; end += STEP_MILLIS) {
			long count = count(arrivals, end - SPAN_MILLIS, end);
			Assert.assertTrue(count <= allowed, count + " requests in the 4 s before " + (end - this.limitedAtMillis)
					+ " ms after the limit was named; allowed " + allowed);
		}
	}

	@Then("in the last {int} s the server at {word} got at least {int} requests")
	public void gotAtLeast(int seconds, String vm, int least) {
		long now = ServerStandIn.now();
		long count = count(arrivals(vm), now - seconds * 1_000L, now);
		Assert.assertTrue(count >= least, "requests: " + count);
	}

	@Then("{int} s later no request has reached the server at {word} that was sent {int} s after its VM knew")
	public void nothingAfterLeaving(int seconds, String vm, int drainSeconds) {
		Assert.assertEquals(drainSeconds * 1_000L, DRAIN_MILLIS);
		Cluster.sleep(seconds * 1_000L);
		Set<String> reached = PlatformWorlds.current()
			.server(vm)
			.received()
			.stream()
			.map((request) -> request.header("x-request-id"))
			.collect(Collectors.toSet());
		Map<String, Long> knownSince = leavingKnownSince();
		Assert.assertFalse(knownSince.isEmpty(), "an answer has said that the server is leaving");
		List<String> late = this.callers.ended()
			.stream()
			.filter((sent) -> knownSince.containsKey(sent.vm()))
			.filter((sent) -> sent.sentAtMillis() > knownSince.get(sent.vm()) + DRAIN_MILLIS)
			.map(Sent::id)
			.filter(reached::contains)
			.toList();
		Assert.assertEquals(late, List.of(), late.size() + " requests");
	}

	@Then("in the last {int} s at least {int} % of the requests were served")
	public void served(int seconds, int percent) {
		long from = ServerStandIn.now() - seconds * 1_000L;
		List<Sent> recent = this.callers.ended().stream().filter((sent) -> sent.answeredAtMillis() >= from).toList();
		long served = recent.stream().filter((sent) -> sent.response().status() == OK).count();
		Assert.assertTrue(100 * served >= percent * (long) recent.size() && served > 0,
				served + " of " + recent.size() + " served");
	}

	@Then("in the last {int} s all requests were refused within {int} ms")
	public void refusedAtOnce(int seconds, int millis) {
		long from = ServerStandIn.now() - seconds * 1_000L;
		List<Sent> recent = this.callers.ended().stream().filter((sent) -> sent.answeredAtMillis() >= from).toList();
		Assert.assertFalse(recent.isEmpty());
		recent.forEach((sent) -> {
			Assert.assertEquals(sent.response().status(), 503, sent.toString());
			Assert.assertTrue(sent.response().headers().containsKey("retry-after"), sent.toString());
			Assert.assertTrue(sent.answeredAtMillis() - sent.sentAtMillis() <= millis, sent.toString());
		});
	}

	/** Returns when the first answer that says so arrived, by VM of its caller. */
	private Map<String, Long> leavingKnownSince() {
		Map<String, Long> knownSince = new TreeMap<>();
		this.callers.ended()
			.stream()
			.filter((sent) -> sent.response().headers().containsKey("server-leaving"))
			.forEach((sent) -> knownSince.merge(sent.vm(), sent.answeredAtMillis(), Math::min));
		return knownSince;
	}

	private static List<Long> arrivals(String vm) {
		return PlatformWorlds.current().server(vm).received().stream().map(Received::atMillis).toList();
	}

	private static long count(List<Long> times, long from, long to) {
		return times.stream().filter((time) -> time > from && time <= to).count();
	}

}
