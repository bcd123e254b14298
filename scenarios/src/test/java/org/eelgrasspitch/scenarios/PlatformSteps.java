package org.eelgrasspitch.scenarios;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.mesh.RawCaller;
import org.eelgrasspitch.testkit.mesh.RawCaller.Response;
import org.eelgrasspitch.testkit.mesh.ServerStandIn;
import org.eelgrasspitch.testkit.mesh.StoreStandIn.Fault;
import org.testng.Assert;

/**
 * Steps of the streaming proxy on the users' platform.
 */
public class PlatformSteps {

	static final String HOST = "m.example";

	private static final long TIMEOUT_MILLIS = 3_000;

	private static final int OK = 200;

	private PlatformWorld world;

	private RawCaller caller;

	private Response answer;

	private long askedAt;

	private long tookMillis;

	private final PressingCallers pressing = new PressingCallers();

	private int nextId;

	private String lastId;

	private int cutOff;

	private final CrashingCaller crashing = new CrashingCaller();

	/** A VM beside the one whose node died. */
	private String survivor;

	@After
	public void close() {
		if (this.world != null) {
			this.world.close();
		}
	}

	@Given("servers with their nodes at {}")
	public void servers(String vms) throws IOException {
		start(new PlatformWorld(), vms);
	}

	@Given("servers with {int} slots and their nodes at {}")
	public void servers(int slots, String vms) throws IOException {
		start(new PlatformWorld(slots), vms);
	}

	@Given("servers with {int} slots, {int} ms to stop and their nodes at {}")
	public void servers(int slots, int stopMillis, String vms) throws IOException {
		start(new PlatformWorld(slots, stopMillis), vms);
	}

	private void start(PlatformWorld newWorld, String vms) throws IOException {
		close();
		this.world = newWorld;
		PlatformWorlds.replace(this.world);
		this.world.publish("", "");
		for (String vm : vms.split(" ")) {
			this.world.add(vm);
		}
		for (String vm : vms.split(" ")) {
			await(vm + " is ready", 5, () -> this.world.readiness(vm) == OK);
		}
		Cluster.sleep(800);
	}

	@When("a requester at {word} sends {word} {word}")
	public void send(String vm, String method, String path) throws IOException {
		ask(vm, method, path, "POST".equals(method) ? "pay me" : "");
		finish();
	}

	@When("a requester at {word} sends {word} {word} and leaves after {int} ms")
	public void sendAndLeave(String vm, String method, String path, int millis) throws IOException {
		ask(vm, method, path, "");
		Cluster.sleep(millis);
		this.caller.close();
	}

	@When("a requester at {word} sends {word} {word} in pieces of {int} bytes, {int} in all")
	public void sendChunked(String vm, String method, String path, int piece, int all) throws IOException {
		this.caller = this.world.caller(vm);
		this.lastId = "q" + this.nextId++;
		this.caller.send(method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + this.lastId
				+ "\r\nX-Request-Timeout-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n");
		for (int sent = 0; sent < all; sent += piece) {
			this.caller.send(Integer.toHexString(piece) + "\r\n" + "y".repeat(piece) + "\r\n");
		}
		this.caller.send("0\r\n\r\n");
		this.askedAt = System.nanoTime();
		finish();
	}

	@When("a requester at {word} sends one behind another: {}")
	public void pipeline(String vm, String paths) throws IOException {
		this.caller = this.world.caller(vm);
		this.askedAt = System.nanoTime();
		for (String path : paths.split(" ")) {
			this.caller.request("GET", HOST, path, "q" + this.nextId++, TIMEOUT_MILLIS, "");
		}
	}

	@When("a requester at {word} sends the bytes {string}")
	public void bytes(String vm, String text) throws IOException {
		this.caller = this.world.caller(vm);
		this.askedAt = System.nanoTime();
		this.caller.send(text.replace("|", "\r\n"));
		finish();
	}

	@Then("it gets status {int}")
	public void status(int status) {
		Assert.assertEquals(this.answer.status(), status, this.answer.toString());
	}

	@Then("it gets status {int} with {string}")
	public void statusAndBody(int status, String body) {
		status(status);
		Assert.assertEquals(this.answer.body(), body);
		Assert.assertTrue(this.answer.whole());
	}

	@Then("it gets status {int} with {int} bytes")
	public void statusAndLength(int status, int bytes) {
		status(status);
		Assert.assertEquals(this.answer.body().length(), bytes);
		Assert.assertTrue(this.answer.whole());
	}

	@Then("it gets {int} answers, the last one from {word}, within {int} ms")
	public void answers(int count, String server, int millis) throws IOException {
		for (int i = 0; i < count; i++) {
			finish();
			Assert.assertEquals(this.answer.status(), OK, "answer " + i);
		}
		Assert.assertEquals(this.answer.body(), "from i-" + server);
		withinMillis(millis);
	}

	@Then("the answer says when to come back")
	public void returnTime() {
		double seconds = Double.parseDouble(this.answer.headers().get("retry-after"));
		Assert.assertTrue(seconds > 0 && seconds < 3, "Retry-After: " + seconds);
	}

	@Then("the answer came within {int} ms")
	public void withinMillis(int millis) {
		Assert.assertTrue(this.tookMillis <= millis, "took " + this.tookMillis + " ms");
	}

	@Then("the answer came after {int} ms or later")
	public void afterMillis(int millis) {
		Assert.assertTrue(this.tookMillis >= millis, "took " + this.tookMillis + " ms");
	}

	@Then("{int} server(s) received it, {int} time(s) in all")
	public void received(int servers, int times) {
		long receivers = this.world.servers().stream().filter((server) -> count(server) > 0).count();
		int all = this.world.servers().stream().mapToInt(this::count).sum();
		Assert.assertEquals(receivers, servers, "servers");
		Assert.assertEquals(all, times, "times");
	}

	@Then("the server at {word} got the body of {int} bytes and the caller service {word}")
	public void got(String vm, int bytes, String service) {
		ServerStandIn.Received received = this.world.server(vm).received().getLast();
		Assert.assertEquals(received.body().length(), bytes);
		Assert.assertEquals(received.header("x-caller-service"), service);
		Assert.assertEquals(received.header("x-request-id"), this.lastId);
		long left = Long.parseLong(received.header("x-request-timeout-ms"));
		Assert.assertTrue(left > 0 && left <= TIMEOUT_MILLIS, "told " + left + " ms");
	}

	@Then("within {int} s nothing runs at {word}")
	public void nothingRuns(int seconds, String vm) {
		await("nothing runs", seconds, () -> this.world.server(vm).running() == 0);
	}

	@Then("never more than {int} ran at {word} at a time")
	public void mostRunning(int most, String vm) {
		Assert.assertTrue(this.world.server(vm).maxRunning() <= most, "ran: " + this.world.server(vm).maxRunning());
	}

	@When("{int} requesters at {word} send GET {word} together")
	public void together(int count, String vm, String path) throws IOException {
		List<RawCaller> callers = new ArrayList<>();
		this.askedAt = System.nanoTime();
		for (int i = 0; i < count; i++) {
			RawCaller each = this.world.caller(vm);
			each.request("GET", HOST, path, "q" + this.nextId++, TIMEOUT_MILLIS, "");
			callers.add(each);
		}
		int served = 0;
		for (RawCaller each : callers) {
			this.answer = each.read();
			served += (this.answer.status() == OK) ? 1 : 0;
			Assert.assertTrue(this.answer.status() == OK || this.answer.status() == 503, this.answer.toString());
		}
		this.tookMillis = elapsed();
		Assert.assertTrue(served > 0, "some are served");
	}

	@When("the operators add the route {word} to {word}")
	public void addRoute(String prefix, String service) {
		this.world.publish(prefix, service);
	}

	@When("a requester at {word} sends GET {word} as {word} and does not wait")
	public void sendAs(String vm, String path, String id) throws IOException {
		this.world.caller(vm).request("GET", HOST, path, id, TIMEOUT_MILLIS, "");
	}

	@When("the operators add {int} routes to {word}")
	public void addRoutes(int count, String service) {
		this.world.publishMany(count, service);
	}

	@Then("one of the nodes at {} reads the store")
	public void oneReader(String vms) throws IOException {
		Assert.assertEquals(this.world.sourceReaders(vms).size(), 1, vms);
	}

	@When("the node at {} that reads the store dies")
	public void readerDies(String vms) throws IOException {
		this.survivor = this.world.closeSourceReader(vms);
	}

	@Then("within {int} s a requester at its failure domain gets status {int} for GET {word}")
	public void awaitStatusOfSurvivor(int seconds, int status, String path) {
		awaitStatus(seconds, this.survivor, status, path);
	}

	@When("the operators remove the further route")
	public void removeRoute() {
		this.world.publish("", "");
	}

	@When("the operators write {string}")
	public void write(String content) {
		this.world.store().put("op/config", content);
	}

	@When("somebody writes {string} as the entry {word}")
	public void writeEntry(String content, String id) {
		this.world.store().put("servers/" + id, content);
	}

	@Then("within {int} s a requester at {word} gets status {int} for GET {word}")
	public void awaitStatus(int seconds, String vm, int status, String path) {
		await("status " + status + " at " + vm, seconds, () -> statusOf(vm, path) == status);
	}

	@Then("for {int} s a requester at {word} gets status {int} for GET {word}")
	public void holds(int seconds, String vm, int status, String path) {
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (System.nanoTime() < until) {
			Assert.assertEquals(statusOf(vm, path), status);
			Cluster.sleep(50);
		}
	}

	@When("the store {word}")
	public void storeFault(String fault) {
		switch (fault) {
			case "refuses" -> this.world.store().setFault(Fault.BUSY);
			case "resets" -> this.world.store().setFault(Fault.RESET);
			case "hangs" -> this.world.store().setFault(Fault.SILENT);
			case "returns" -> this.world.store().setFault(Fault.NONE);
			case "forgets" -> this.world.store().compact();
			case "slows" -> this.world.store().setFault(Fault.SLOW);
			case "loses-answers" -> this.world.store().setFault(Fault.LOSSY);
			default -> throw new IllegalArgumentException(fault);
		}
	}

	@When("the entries of {} lapse")
	public void lapse(String vms) {
		for (String vm : vms.split(" ")) {
			this.world.withdraw(vm);
		}
	}

	@When("{word} announces {word}")
	public void announce(String vm, String state) {
		this.world.announce(vm, state);
	}

	@Then("after {int} ms no request from {word} for {word} reaches {word}")
	public void unreached(int millis, String from, String path, String vm) {
		Cluster.sleep(millis);
		int before = this.world.server(vm).received().size();
		for (int i = 0; i < 12; i++) {
			statusOf(from, path);
		}
		Assert.assertEquals(this.world.server(vm).received().size(), before);
	}

	@When("the server at {word} crashes")
	public void crash(String vm) throws IOException {
		this.world.server(vm).close();
	}

	@When("the server at {word} comes back")
	public void comeBack(String vm) throws IOException {
		this.world.startServer(vm);
	}

	@When("the node at {word} dies")
	public void die(String vm) {
		this.world.node(vm).close();
	}

	@When("the node at {word} is started again")
	public void restart(String vm) {
		this.world.startNode(vm);
	}

	@When("the node at {word} is told to stop")
	public void stop(String vm) {
		Thread.ofVirtual().start(() -> this.world.node(vm).leave());
	}

	@When("a requester at {word} sends GET {word} and does not wait")
	public void sendOnly(String vm, String path) throws IOException {
		ask(vm, "GET", path, "");
	}

	@Then("its answer arrives with status {int}")
	public void arrives(int status) throws IOException {
		finish();
		status(status);
	}

	@When("a requester at {word} keeps sending GET {word} until the node ends")
	public void sendUntilTheEnd(String vm, String path) {
		this.cutOff = this.pressing.countCutOff(this.world, vm, path);
	}

	@When("{int} requesters at {word} send GET {word} without a pause until the node ends")
	public void pressUntilTheEnd(int count, String vm, String path) {
		this.pressing.press(this.world, count, vm, path);
	}

	@Then("no request that ran at {} was left without an answer")
	public void everyRunAnswered(String vms) {
		for (String vm : vms.split(" ")) {
			Assert.assertEquals(this.pressing.unansweredAt(this.world.server(vm)), List.of(), "at " + vm);
		}
	}

	@When("a requester at {word} sends GET {word} {int} times while crashed servers come back")
	public void deadly(String vm, String path, int times) throws IOException {
		this.crashing.send(this.world, vm, path, times, List.of());
	}

	@When("a requester at {word} sends GET {word} {int} times, each beside {int} of GET {word}, while crashed servers come back")
	public void deadly(String vm, String path, int times, int others, String otherPath) throws IOException {
		this.crashing.send(this.world, vm, path, times, Collections.nCopies(others, otherPath));
	}

	@Then("the last of them gets status {int}")
	public void lastCrashing(int status) {
		Assert.assertEquals(this.crashing.lastStatus(), status);
	}

	@Then("no further server crashed")
	public void noneCrashed() {
		Assert.assertEquals(this.crashing.reachedServers(), 0);
	}

	@Then("none of its requests was cut off")
	public void noneCutOff() {
		Assert.assertEquals(this.cutOff, 0);
	}

	@When("somebody else takes over the address of {word}")
	public void takeOver(String vm) throws IOException {
		this.world.server(vm).close();
		this.world.startServer(vm, "i-other");
	}

	@Then("the server at {word} refused at most {int} requests as misdirected")
	public void misdirected(String vm, int most) {
		long misdirected = this.world.server(vm)
			.received()
			.stream()
			.filter((received) -> !"i-other".equals(received.header("x-expected-instance")))
			.count();
		Assert.assertTrue(misdirected <= most, "misdirected: " + misdirected);
	}

	@Then("{word} is not ready within {int} s")
	public void notReady(String vm, int seconds) {
		await(vm + " is not ready", seconds, () -> this.world.readiness(vm) != OK);
	}

	@Then("{word} is ready within {int} s")
	public void ready(String vm, int seconds) {
		await(vm + " is ready", seconds, () -> this.world.readiness(vm) == OK);
	}

	@When("{int} ms pass")
	public void pass(int millis) {
		Cluster.sleep(millis);
	}

	@Then("of {int} requests at {word} for {word} the share that reaches {word} servers is {int} % give or take {int}")
	public void share(int count, String vm, String path, String service, int percent, int slack) {
		int served = 0;
		for (int i = 0; i < count; i++) {
			this.lastId = "s" + this.nextId++;
			statusOf(vm, path);
			String id = this.lastId;
			served += (int) this.world.servers()
				.stream()
				.flatMap((server) -> server.received().stream())
				.filter((received) -> id.equals(received.header("x-request-id"))
						&& received.path().startsWith("/split/"))
				.count();
		}
		long reached = this.world.server(service + "-a")
			.received()
			.stream()
			.filter((received) -> received.path().startsWith("/split/"))
			.count();
		Assert.assertEquals(served, count, "every request reaches one server");
		Assert.assertTrue(Math.abs(100 * reached / count - percent) <= slack, "share: " + 100 * reached / count);
	}

	private void ask(String vm, String method, String path, String body) throws IOException {
		this.caller = this.world.caller(vm);
		this.lastId = "q" + this.nextId++;
		this.askedAt = System.nanoTime();
		this.caller.request(method, HOST, path, this.lastId, TIMEOUT_MILLIS, body);
	}

	private void finish() throws IOException {
		this.answer = this.caller.read();
		this.tookMillis = elapsed();
	}

	private long elapsed() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.askedAt);
	}

	private int statusOf(String vm, String path) {
		try (RawCaller each = this.world.caller(vm)) {
			this.lastId = "q" + this.nextId++;
			each.request("GET", HOST, path, this.lastId, TIMEOUT_MILLIS, "");
			return each.read().status();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private int count(ServerStandIn server) {
		return (int) server.received()
			.stream()
			.filter((received) -> this.lastId.equals(received.header("x-request-id")))
			.count();
	}

	private static void await(String what, int seconds, BooleanSupplier condition) {
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.nanoTime() < until, "not within " + seconds + " s: " + what);
			Cluster.sleep(25);
		}
	}

}
