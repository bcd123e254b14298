package org.eelgrasspitch.scenarios;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.eelgrasspitch.request.Ticket;
import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.HttpCaller;
import org.eelgrasspitch.testkit.HttpCaller.CallResponse;
import org.eelgrasspitch.testkit.HttpCaller.CallSpec;
import org.testng.Assert;

/**
 * Steps in which a caller pays, resends, waits and asks.
 */
public class RequestSteps {

	private static final long CALLER_TIMEOUT_MILLIS = 20_000;

	/** Longest wait for a payment that has begun to reach its target. */
	private static final long BEGIN_MILLIS = 1_500;

	private static final String PAYMENT = "payment-1";

	private static final int OK = 200;

	private final World world = Worlds.current();

	private final HttpCaller caller = new HttpCaller(CALLER_TIMEOUT_MILLIS);

	/** Answers to the payment in the order of sending. */
	private final List<CompletableFuture<Optional<CallResponse>>> answers = new ArrayList<>();

	private CallSpec payment;

	private Ticket ticket;

	/** How long the latest answer took, in milliseconds. */
	private long tookMillis;

	@Given("requests take {int} ms")
	public void serviceTime(int millis) {
		this.world.cluster().vms().forEach((vm) -> this.world.target(vm).serviceMillis(millis));
	}

	@Given("a caller holds a ticket that node {word} issued")
	public void ticketFrom(String vm) {
		for (int attempt = 0; attempt < 100; attempt++) {
			List<String> tickets = this.caller.tickets(this.world.callerPort(vm), "renewals", "pay", 1);
			Optional<Ticket> parsed = tickets.stream().findFirst().flatMap(Ticket::parse);
			if (parsed.filter((issued) -> issued.home().equals(vm)).isPresent()) {
				this.ticket = parsed.get();
				byte[] body = "two years for one dog".getBytes(StandardCharsets.UTF_8);
				this.payment = new CallSpec("renewals", "pay", PAYMENT, Optional.of(tickets.get(0)), 1, body, false);
				return;
			}
		}
		Assert.fail("no ticket from " + vm);
	}

	@When("the caller pays through node {word}")
	public void pay(String vm) {
		send(vm).join();
	}

	@When("the caller begins to pay through node {word}")
	public void beginToPay(String vm) {
		send(vm);
		Cluster.eventually(BEGIN_MILLIS, () -> this.world.starts().containsKey(PAYMENT));
	}

	@When("the caller resends the same bytes through node {word}")
	public void resend(String vm) {
		send(vm).join();
	}

	@When("the caller begins to resend the same bytes through node {word}")
	public void beginToResend(String vm) {
		send(vm);
		Cluster.sleep(400);
	}

	@Then("the payment ran {int} time(s)")
	public void ran(int times) {
		this.answers.forEach(CompletableFuture::join);
		Assert.assertEquals(this.world.starts().getOrDefault(PAYMENT, 0).intValue(), times, "runs");
	}

	@Then("the payment ran at most once")
	public void ranAtMostOnce() {
		this.answers.forEach(CompletableFuture::join);
		int runs = this.world.starts().getOrDefault(PAYMENT, 0);
		Assert.assertTrue(runs <= 1, "the payment ran " + runs + " times");
	}

	@Then("answer {int} is the paid answer")
	public void paid(int number) {
		CallResponse got = answer(number).orElseThrow(() -> new AssertionError("no answer " + number));
		Assert.assertEquals(got.status(), OK, new String(got.body(), StandardCharsets.UTF_8));
		Assert.assertTrue(new String(got.body(), StandardCharsets.UTF_8).contains(PAYMENT));
	}

	@Then("answer {int} says that the request ran: {word}")
	public void says(int number, String ran) {
		CallResponse got = answer(number).orElseThrow(() -> new AssertionError("no answer " + number));
		Assert.assertEquals(got.ran().orElse(""), ran, new String(got.body(), StandardCharsets.UTF_8));
	}

	@Then("the latest answer took less than {int} ms")
	public void tookLessThan(int millis) {
		Assert.assertTrue(this.tookMillis < millis, "it took " + this.tookMillis + " ms");
	}

	@Then("no refusal was false")
	public void noFalseRefusal() {
		boolean refused = this.answers.stream()
			.map(CompletableFuture::join)
			.flatMap(Optional::stream)
			.anyMatch((got) -> got.ran().orElse("").equals("no"));
		int runs = this.world.starts().getOrDefault(PAYMENT, 0);
		Assert.assertFalse(refused && runs > 0, "a refusal said not run, but the payment ran");
	}

	@Then("asking node {word} gives the paid answer within {int} seconds")
	public void askingGives(String vm, int seconds) {
		boolean paid = Cluster.eventually(TimeUnit.SECONDS.toMillis(seconds),
				() -> ask(vm).filter((got) -> got.status() == OK).isPresent());
		Assert.assertTrue(paid, "asking gives " + ask(vm));
	}

	@When("node {word} is asked to stop")
	public void stop(String vm) {
		this.world.cluster().node(vm).terminate();
	}

	@Then("node {word} runs for {int} ms more")
	public void runsOn(String vm, int millis) {
		Assert.assertFalse(this.world.cluster().node(vm).await(millis), vm + " has ended");
	}

	@Then("node {word} has ended within {int} seconds")
	public void ended(String vm, int seconds) {
		Assert.assertTrue(this.world.cluster().node(vm).await(TimeUnit.SECONDS.toMillis(seconds)), vm + " runs on");
	}

	@After
	public void close() {
		this.answers.forEach((answer) -> answer.cancel(true));
		this.caller.close();
	}

	private CompletableFuture<Optional<CallResponse>> send(String vm) {
		CallSpec attempt = this.payment;
		this.payment = this.payment.nextAttempt();
		InetSocketAddress node = this.world.callerPort(vm);
		CompletableFuture<Optional<CallResponse>> answer = CompletableFuture.supplyAsync(() -> {
			long sentAt = System.nanoTime();
			Optional<CallResponse> got = this.caller.call(node, attempt);
			this.tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
			return got;
		});
		this.answers.add(answer);
		return answer;
	}

	private Optional<CallResponse> ask(String vm) {
		return this.caller.get(this.world.callerPort(vm), "/-/outcomes/" + this.ticket.encoded());
	}

	private Optional<CallResponse> answer(int number) {
		return this.answers.get(number - 1).join();
	}

}
