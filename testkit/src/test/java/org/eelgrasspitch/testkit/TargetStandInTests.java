package org.eelgrasspitch.testkit;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests for {@link TargetStandIn}, whose records the scenarios rely on.
 */
public class TargetStandInTests {

	private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.98.0.1", 7403);

	private static final long SERVICE_MILLIS = 5_000;

	private final Map<String, Integer> executions = TargetStandIn.newExecutions();

	private TargetStandIn target;

	private HttpCaller caller;

	@BeforeMethod
	public void start() {
		this.executions.clear();
		this.target = new TargetStandIn(new TargetStandIn.Options("vm", ADDRESS, 5, 1, SERVICE_MILLIS, 0, 0),
				this.executions, () -> {
				});
		this.caller = new HttpCaller(2 * SERVICE_MILLIS);
	}

	@AfterMethod
	public void stop() {
		this.caller.close();
		this.target.close();
	}

	@Test
	public void cancelledRequestEndsAtOnceAndItsConnectionIsFree() {
		CompletableFuture<Optional<HttpCaller.CallResponse>> running = CompletableFuture.supplyAsync(this::longRequest);
		Assert.assertTrue(Cluster.eventually(SERVICE_MILLIS, () -> this.target.executionList().size() == 1));
		Assert.assertEquals(longRequest().flatMap(HttpCaller.CallResponse::ran).orElse(""), "no",
				"one connection only");
		Assert.assertEquals(text(this.caller.delete(ADDRESS, "/-/requests/one")), "cancelled");
		Assert.assertEquals(running.join().map(HttpCaller.CallResponse::status).orElse(0).intValue(), 410);
		Assert.assertEquals(this.target.executionList().get(0).count(), 1);
	}

	@Test
	public void healthLagsBehindDraining() {
		this.caller.post(ADDRESS, "/-/faults?healthLagMillis=600000&load=0/9");
		this.target.drain(true);
		Assert.assertEquals(text(this.caller.get(ADDRESS, "/health")), "ok");
		Assert.assertEquals(text(this.caller.get(ADDRESS, "/load")), "0/9");
		this.caller.post(ADDRESS, "/-/faults?healthLagMillis=0");
		Assert.assertEquals(text(this.caller.get(ADDRESS, "/health")), "draining");
	}

	private Optional<HttpCaller.CallResponse> longRequest() {
		return this.caller.post(ADDRESS, "/read", "one");
	}

	private static String text(Optional<HttpCaller.CallResponse> answer) {
		return answer.map((response) -> new String(response.body(), StandardCharsets.UTF_8)).orElse("");
	}

}
