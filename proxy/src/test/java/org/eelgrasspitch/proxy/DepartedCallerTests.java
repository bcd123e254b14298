package org.eelgrasspitch.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.eelgrasspitch.mesh.Destination;
import org.eelgrasspitch.mesh.MeshRoute;
import org.eelgrasspitch.mesh.TargetDirectory;
import org.eelgrasspitch.mesh.TargetEntry;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Callers that leave while a process or a request waits. Half a second after its caller
 * has left, no request may reach a target.
 */
@Test(singleThreaded = true)
public class DepartedCallerTests {

	/** Time for which a node stands still. */
	private static final long PAUSE_MILLIS = 1_100;

	/** Time into the pause at which callers leave. */
	private static final long STAY_MILLIS = 200;

	private static final long BOUND_MILLIS = 500;

	/** Time in which everything that waits is sent, if it is sent at all. */
	private static final long SETTLE_MILLIS = 700;

	private static final int CALLERS = 40;

	/** Kinds of callers that send at the same time. */
	private static final int KINDS = 4;

	private static final int BODY_BYTES = 20_000;

	private static final int ANSWER_TIMEOUT_MILLIS = 5_000;

	private static final int FEW_SLOTS = 8;

	private static final int MANY_SLOTS = 500;

	/** Listeners of a node. */
	private static final int NODE_PORTS = 4;

	private final List<AutoCloseable> opened = new ArrayList<>();

	private final Map<String, Long> leftNanos = new ConcurrentHashMap<>();

	private int requests;

	private RecordingTarget nearTarget;

	private RecordingTarget farTarget;

	private PausableNode entryNode;

	private PausableNode homeNode;

	/** How a caller leaves. */
	enum Leaving {

		CLOSE, RESET

	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		for (AutoCloseable resource : this.opened.reversed()) {
			resource.close();
		}
		this.opened.clear();
		this.leftNanos.clear();
	}

	@DataProvider
	Object[][] entries() {
		List<Object[]> cases = new ArrayList<>();
		for (boolean far : List.of(false, true)) {
			for (boolean early : List.of(true, false)) {
				for (Leaving leaving : Leaving.values()) {
					cases.add(new Object[] { far, early, leaving });
				}
			}
		}
		return cases.toArray(Object[][]::new);
	}

	// A node read requests and sent them on before it read that their callers had left.
	@Test(dataProvider = "entries")
	public void entryNodeThatStoodStillSendsNothingOnForDepartedCallers(boolean far, boolean early, Leaving leaving)
			throws Exception {
		start(true, MANY_SLOTS, false, far ? "far" : "near");
		List<Socket> callers = new ArrayList<>();
		if (early) {
			callers.addAll(connect(KINDS * CALLERS));
		}
		this.entryNode.pause(PAUSE_MILLIS);
		if (!early) {
			callers.addAll(connect(KINDS * CALLERS));
		}
		List<List<String>> ids = new ArrayList<>();
		ids.addAll(send(callers.subList(0, CALLERS), 1, false));
		ids.addAll(send(callers.subList(CALLERS, 2 * CALLERS), 1, true));
		ids.addAll(send(callers.subList(2 * CALLERS, 3 * CALLERS), 2, false));
		ids.addAll(send(callers.subList(3 * CALLERS, KINDS * CALLERS), 5, true));
		sleep(STAY_MILLIS);
		leave(callers, ids, leaving);
		assertNothingArrivesLate();
	}

	@Test
	public void entryNodeThatStoodStillServesCallersThatStay() throws Exception {
		start(true, MANY_SLOTS, false, "near", "far");
		List<Socket> callers = connect(CALLERS);
		this.entryNode.pause(PAUSE_MILLIS);
		send(callers, 5, true);
		assertAnswers(callers, 5);
	}

	// Cancellations behind more calls than are read at a time came after the calls.
	@Test
	public void homeThatStoodStillStartsNothingForDepartedCallers() throws Exception {
		start(true, MANY_SLOTS, false, "far");
		List<Socket> callers = connect(2 * CALLERS);
		this.homeNode.pause(PAUSE_MILLIS);
		List<List<String>> ids = send(callers, 1, true);
		sleep(STAY_MILLIS);
		leave(callers, ids, Leaving.CLOSE);
		assertNothingArrivesLate();
	}

	@Test
	public void homeThatStoodStillServesCallersThatStay() throws Exception {
		start(true, MANY_SLOTS, false, "far");
		List<Socket> callers = connect(2 * CALLERS);
		this.homeNode.pause(PAUSE_MILLIS);
		send(callers, 1, true);
		assertAnswers(callers, 1);
	}

	// A slot got free before the cancellations of the waiting calls were read.
	@Test
	public void homeThatStoodStillStartsNoWaitingCallOfDepartedCallers() throws Exception {
		start(true, 1, false, "far");
		this.farTarget.holdAnswers();
		List<Socket> callers = connect(2 * CALLERS);
		List<List<String>> ids = send(callers, 1, true);
		sleep(STAY_MILLIS);
		this.homeNode.pause(PAUSE_MILLIS);
		this.farTarget.answer();
		leave(callers, ids, Leaving.CLOSE);
		assertNothingArrivesLate();
	}

	@Test
	public void entryNodeThatStoodStillPermitsNoStartForDepartedCallers() throws Exception {
		start(false, FEW_SLOTS, false, "far");
		this.farTarget.holdAnswers();
		List<Socket> callers = connect(CALLERS);
		List<List<String>> ids = send(callers, 1, false);
		sleep(STAY_MILLIS);
		this.entryNode.pause(PAUSE_MILLIS);
		this.farTarget.answer();
		leave(callers, ids, Leaving.CLOSE);
		assertNothingArrivesLate();
	}

	// A refusal was read before the end of the caller's connection.
	@Test
	public void entryNodeThatStoodStillRetriesNothingForDepartedCallers() throws Exception {
		start(true, MANY_SLOTS, true, "near", "far");
		this.nearTarget.holdAnswers();
		this.farTarget.holdAnswers();
		List<Socket> callers = connect(CALLERS);
		List<List<String>> ids = send(callers, 1, false);
		sleep(STAY_MILLIS);
		this.entryNode.pause(PAUSE_MILLIS);
		this.nearTarget.answer();
		this.farTarget.answer();
		leave(callers, ids, Leaving.CLOSE);
		assertNothingArrivesLate();
	}

	@DataProvider
	Object[][] pipelines() {
		return new Object[][] { { 15 }, { 16 }, { 24 } };
	}

	// A connection with 16 requests in progress was not read, so its end was not seen.
	@Test(dataProvider = "pipelines")
	public void callerThatLeavesAFullPipelineIsNoticed(int pipelined) throws Exception {
		start(true, 1, false, "near");
		this.nearTarget.holdAnswers();
		List<Socket> callers = connect(2);
		List<List<String>> ids = send(callers, pipelined, false);
		sleep(STAY_MILLIS);
		leave(callers, ids, Leaving.CLOSE);
		sleep(BOUND_MILLIS);
		this.nearTarget.answer();
		assertNothingArrivesLate();
	}

	@Test
	public void fullPipelineOfACallerThatStaysIsServed() throws Exception {
		start(true, 4, false, "near");
		List<Socket> callers = connect(2);
		send(callers, 60, false);
		assertAnswers(callers, 60);
	}

	/**
	 * Starts two nodes with a target each and waits for the link between them.
	 * @param used names of the targets that are published, {@code near} for that of the
	 * entry node's VM and {@code far} for the other one
	 */
	private void start(boolean idempotent, int slots, boolean refusing, String... used) throws Exception {
		InetAddress near = InetAddress.getByName("127.0.0.1");
		InetAddress far = InetAddress.getByName("127.0.0.2");
		this.nearTarget = open(new RecordingTarget(near, refusing));
		this.farTarget = open(new RecordingTarget(far, refusing));
		List<Integer> ports = freePorts();
		this.entryNode = open(new PausableNode("vm-1", addresses(near, ports), this.nearTarget.address()));
		this.homeNode = open(new PausableNode("vm-2", addresses(far, ports), this.farTarget.address()));
		List<TargetEntry> targets = new ArrayList<>();
		if (List.of(used).contains("near")) {
			targets.add(new TargetEntry("near", "desk", this.nearTarget.address(), "a", slots, false, 0, 1, 1));
		}
		if (List.of(used).contains("far")) {
			targets.add(new TargetEntry("far", "desk", this.farTarget.address(), "a", slots, false, 0, 1, 1));
		}
		TargetDirectory directory = new TargetDirectory(targets);
		MeshRoute route = new MeshRoute("read", "m.example", "/", idempotent, 1_000, 1, ANSWER_TIMEOUT_MILLIS, 2,
				List.of(new Destination("desk", 1)));
		this.homeNode.publish(route, directory);
		this.entryNode.publish(route, directory);
		while (directory.find("far").isPresent() && !this.entryNode.hasUsableLinkTo(directory, "far")) {
			sleep(10);
		}
	}

	private <T extends AutoCloseable> T open(T resource) {
		this.opened.add(resource);
		return resource;
	}

	private List<Socket> connect(int count) throws IOException {
		List<Socket> callers = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			InetSocketAddress address = this.entryNode.entryAddress();
			Socket caller = open(new Socket(address.getAddress(), address.getPort()));
			caller.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
			callers.add(caller);
		}
		return callers;
	}

	/**
	 * Sends requests on each connection.
	 * @return their identifiers, by connection
	 */
	private List<List<String>> send(List<Socket> callers, int pipelined, boolean body) throws IOException {
		List<List<String>> ids = new ArrayList<>();
		for (Socket caller : callers) {
			List<String> sent = new ArrayList<>();
			StringBuilder text = new StringBuilder();
			for (int i = 0; i < pipelined; i++) {
				String id = "q" + this.requests++;
				sent.add(id);
				text.append(request(id, body));
			}
			caller.getOutputStream().write(text.toString().getBytes(StandardCharsets.US_ASCII));
			ids.add(sent);
		}
		return ids;
	}

	private static String request(String id, boolean body) {
		String head = (body ? "POST" : "GET") + " /item HTTP/1.1\r\nHost: m.example\r\nId: " + id + "\r\nLeft: "
				+ ANSWER_TIMEOUT_MILLIS + "\r\n";
		return body ? head + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + "b".repeat(BODY_BYTES) : head + "\r\n";
	}

	private void leave(List<Socket> callers, List<List<String>> ids, Leaving leaving) throws IOException {
		for (int i = 0; i < callers.size(); i++) {
			if (leaving == Leaving.RESET) {
				callers.get(i).setSoLinger(true, 0);
			}
			callers.get(i).close();
			long now = System.nanoTime();
			ids.get(i).forEach((id) -> this.leftNanos.put(id, now));
		}
	}

	private void assertNothingArrivesLate() throws InterruptedException {
		sleep(PAUSE_MILLIS + SETTLE_MILLIS);
		List<String> late = Stream.of(this.nearTarget, this.farTarget)
			.flatMap((target) -> target.arrivedNanos().entrySet().stream())
			.filter((arrival) -> arrival.getValue() - this.leftNanos.get(arrival.getKey()) > TimeUnit.MILLISECONDS
				.toNanos(BOUND_MILLIS))
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
		Assert.assertEquals(late, List.of(), late.size() + " requests reached a target after their callers had left");
	}

	private static void assertAnswers(List<Socket> callers, int pipelined) throws IOException {
		for (Socket caller : callers) {
			for (int i = 0; i < pipelined; i++) {
				String head = RecordingTarget.readHead(caller.getInputStream());
				Assert.assertTrue(head.startsWith("HTTP/1.1 200 "), head);
				Assert.assertEquals(caller.getInputStream().readNBytes(2).length, 2);
			}
		}
	}

	private static List<InetSocketAddress> addresses(InetAddress vm, List<Integer> ports) {
		return ports.stream().map((port) -> new InetSocketAddress(vm, port)).toList();
	}

	private static List<Integer> freePorts() throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		for (int i = 0; i < NODE_PORTS; i++) {
			sockets.add(new ServerSocket(0));
		}
		List<Integer> ports = sockets.stream().map(ServerSocket::getLocalPort).toList();
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return ports;
	}

	private static void sleep(long millis) throws InterruptedException {
		TimeUnit.MILLISECONDS.sleep(millis);
	}

}
