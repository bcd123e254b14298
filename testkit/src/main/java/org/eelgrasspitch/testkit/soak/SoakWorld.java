package org.eelgrasspitch.testkit.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;

import org.eelgrasspitch.misc.Closer;
import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.JavaProcess;
import org.eelgrasspitch.testkit.mesh.Documents;
import org.eelgrasspitch.testkit.mesh.StoreStandIn;
import org.eelgrasspitch.testkit.soak.Evidence.Attempt;
import org.eelgrasspitch.testkit.soak.Evidence.Request;
import org.eelgrasspitch.testkit.soak.NodeProcess.Vm;

/**
 * The deployment of a soak: a store, and a target and a node on each of six VMs in two
 * failure domains.
 */
final class SoakWorld implements AutoCloseable {

	private static final List<String> VM_NAMES = List.of("desk-a", "desk-b", "pay-a", "pay-b", "notes-a", "notes-b");

	private static final long READY_MILLIS = 40_000;

	private static final int CALLERS_PER_VM = 5;

	/** Callers that send to a paused node and leave. */
	private static final int DEPARTING_CALLERS = 15;

	private static final int SLOTS = 12;

	private static final int NESTED_TIMEOUT_MILLIS = 1_500;

	private static final int STEP_MILLIS = 100;

	private static final int CHANCES = 100;

	private static final long MAX_PAUSE_MILLIS = 1_500;

	private static final long CALLERS_END_MILLIS = 8_000;

	private final Closer closer = new Closer();

	private final Evidence evidence = new Evidence();

	private final SoakOptions options;

	private final Random random;

	private final StoreStandIn store;

	private final Routes routes;

	private final Map<String, Vm> vms = new LinkedHashMap<>();

	private final Map<String, ErraticTarget> targets = new LinkedHashMap<>();

	private final Map<String, NodeProcess> nodes = new LinkedHashMap<>();

	private int sequence;

	private volatile boolean over;

	/**
	 * Starts the deployment and waits until all nodes are ready.
	 * @param options options of the soak
	 * @param directory directory for the settings and logs of the nodes
	 * @throws IOException if an address is in use or a node does not become ready
	 */
	SoakWorld(SoakOptions options, Path directory) throws IOException {
		this.options = options;
		this.random = new Random(options.seed());
		this.store = this.closer.register(new StoreStandIn(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
		this.routes = new Routes(this.store, this.evidence, new Random(options.seed() + 1));
		try {
			start(directory);
		}
		catch (IOException | RuntimeException ex) {
			close();
			throw ex;
		}
	}

	private void start(Path directory) throws IOException {
		// Runs beside each other on one machine do not use the same addresses.
		String network = "127." + (1 + ProcessHandle.current().pid() % 250) + ".11.";
		this.routes.publish();
		for (String name : VM_NAMES) {
			String[] parts = name.split("-");
			Vm vm = new Vm(name, parts[0], parts[1], network + (this.vms.size() + 1));
			this.vms.put(name, vm);
			Random choices = new Random(this.options.seed() + 100 * this.vms.size());
			this.targets.put(name, this.closer.register(new ErraticTarget(name, vm.service(), vm.target(),
					this.evidence, this.options, choices, (id, runs) -> nestedCall(name, id, runs))));
			announce(name);
			this.nodes.put(name, this.closer
				.register(new NodeProcess(vm, this.store.address(), this.options.classPath(), directory)));
		}
		for (NodeProcess node : this.nodes.values()) {
			if (!node.awaitReady(READY_MILLIS)) {
				throw new IOException(node.process() + " is not ready after " + READY_MILLIS + " ms");
			}
		}
		this.vms.keySet().forEach((name) -> this.evidence.disturbed(name, "start", 0));
	}

	Evidence evidence() {
		return this.evidence;
	}

	Routes routes() {
		return this.routes;
	}

	boolean isOver() {
		return this.over;
	}

	String anyVm() {
		return VM_NAMES.get(ThreadLocalRandom.current().nextInt(VM_NAMES.size()));
	}

	CallerConnection connect(String vm) throws IOException {
		return new CallerConnection(vm, this.vms.get(vm).entry(), this.evidence);
	}

	/**
	 * Runs callers and faults for the time of the options.
	 * @throws IOException if a fault cannot be injected
	 */
	void run() throws IOException {
		List<Thread> callers = new ArrayList<>();
		for (String vm : VM_NAMES) {
			for (int number = 0; number < CALLERS_PER_VM; number++) {
				Random choices = new Random(this.options.seed() * 31 + callers.size());
				callers.add(Thread.ofVirtual().start(new SoakCaller(this, vm, choices)));
			}
		}
		List<Thread> faults = new ArrayList<>();
		for (int step = 0; step < this.options.seconds() * 1_000L / STEP_MILLIS; step++) {
			Cluster.sleep(STEP_MILLIS);
			renewLeavingTargets();
			faults.removeIf((fault) -> !fault.isAlive());
			step(faults);
		}
		this.over = true;
		for (Thread thread : callers) {
			join(thread, CALLERS_END_MILLIS);
		}
		for (Thread thread : faults) {
			join(thread, CALLERS_END_MILLIS);
		}
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private void step(List<Thread> faults) {
		int dice = this.random.nextInt(CHANCES);
		String vm = VM_NAMES.get(this.random.nextInt(VM_NAMES.size()));
		long millis = 100 + this.random.nextInt((int) MAX_PAUSE_MILLIS);
		if (dice < 6) {
			int mood = this.random.nextInt(2 * Plan.Mood.values().length);
			this.targets.get(vm)
				.setMood((mood < Plan.Mood.values().length) ? Plan.Mood.values()[mood] : Plan.Mood.CALM);
		}
		else if (dice < 8) {
			this.routes.publish();
		}
		else if (dice < 10 && faults.isEmpty() && this.options.restarts()) {
			int kind = this.random.nextInt(3);
			faults.add(Thread.ofVirtual().start(() -> disturb(vm, kind, millis)));
		}
	}

	private void disturb(String vm, int kind, long millis) {
		long from = this.evidence.now();
		NodeProcess node = this.nodes.get(vm);
		switch (kind) {
			case 0 -> {
				JavaProcess process = node.process();
				process.pause();
				for (int number = 0; number < DEPARTING_CALLERS; number++) {
					Random choices = new Random(from + number);
					Thread.ofVirtual().start(new DepartingCaller(this, vm, choices));
				}
				Cluster.sleep(millis);
				process.resume();
				this.evidence.disturbed(vm, "pause", from);
				return;
			}
			case 1 -> node.process().kill();
			default -> node.stop();
		}
		Cluster.sleep(millis);
		node.start();
		if (!node.awaitReady(READY_MILLIS)) {
			System.err.println(node.process() + " is not ready after its restart");
		}
		this.evidence.disturbed(vm, (kind == 1) ? "kill" : "stop", from);
	}

	private void announce(String vm) {
		ErraticTarget target = this.targets.get(vm);
		this.store.put("servers/" + target.id(), Documents.entry(this.vms.get(vm).service(), this.vms.get(vm).target(),
				this.vms.get(vm).zone(), "ready", ++this.sequence, SLOTS));
	}

	private void renewLeavingTargets() {
		for (Map.Entry<String, ErraticTarget> entry : this.targets.entrySet()) {
			if (entry.getValue().isLeaving()) {
				this.store.remove("servers/" + entry.getValue().id());
				entry.getValue().renew();
				announce(entry.getKey());
			}
		}
	}

	private boolean nestedCall(String vm, String id, int runs) {
		// A request that runs again calls with the same identifier or with another one.
		String child = (runs > 1 && id.hashCode() % 2 == 0) ? id + runs : id;
		Request request = this.evidence
			.register(new Request(child, "GET", Routes.NESTED, Routes.NESTED + "of-" + child, 0, true));
		Attempt attempt = SoakCaller.once(this, request, vm, NESTED_TIMEOUT_MILLIS);
		return attempt != null && attempt.isSuccess();
	}

	private static void join(Thread thread, long millis) {
		try {
			if (!thread.join(Duration.ofMillis(millis))) {
				System.err.println(thread + " has not ended");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
