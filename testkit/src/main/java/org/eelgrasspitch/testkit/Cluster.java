package org.eelgrasspitch.testkit;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.misc.Closer;
import org.eelgrasspitch.node.StatusReport;
import org.eelgrasspitch.text.Channel;

/**
 * A running deployment: platform, targets and nodes. Nodes always run as separate
 * processes. The platform and targets do so too, unless a test embeds them in its own
 * process to inspect them.
 */
public final class Cluster implements AutoCloseable {

	private static final long POLL_MILLIS = 20;

	private static final long CONTROL_TIMEOUT_MILLIS = 3_000;

	private final Closer closer = new Closer();

	private final Deployment deployment;

	private final Path logs;

	private final HttpCaller control = this.closer.register(new HttpCaller(CONTROL_TIMEOUT_MILLIS));

	private final Map<String, JavaProcess> nodes = new LinkedHashMap<>();

	private final InetSocketAddress platform;

	/**
	 * Creates a cluster without starting anything.
	 * @param deployment the deployment to run; it has at least one member
	 * @param logs existing directory for the output of processes, one file for each
	 */
	public Cluster(Deployment deployment, Path logs) {
		this.deployment = deployment;
		this.logs = logs;
		String url = deployment.members().get(0).settings().platformUrl();
		this.platform = Addresses.parse(url.substring("http://".length())).orElseThrow();
	}

	/**
	 * Returns the deployment that this cluster runs.
	 * @return the deployment
	 */
	public Deployment deployment() {
		return this.deployment;
	}

	/**
	 * Returns the HTTP client for the operators' ports of nodes and for stand-ins; its
	 * timeout is 3 s.
	 * @return the client
	 */
	public HttpCaller control() {
		return this.control;
	}

	/**
	 * Returns the address of the platform.
	 * @return the address
	 */
	public InetSocketAddress platform() {
		return this.platform;
	}

	/**
	 * Starts the platform as a process and waits until it responds.
	 * @throws IllegalStateException if it does not respond within 10 s
	 */
	public void startPlatform() {
		start("platform", List.of("platform-stand-in", "--address", Addresses.format(this.platform)));
		require("the platform responds", 10_000, () -> this.control.get(this.platform, "/counts").isPresent());
	}

	/**
	 * Starts the platform in this process.
	 * @return the platform
	 */
	public PlatformStandIn embedPlatform() {
		return this.closer.register(new PlatformStandIn(this.platform));
	}

	/**
	 * Starts every target as a process and waits until all respond.
	 * @param serviceMillis service time of a request, in milliseconds
	 * @return the processes, in the order of the deployment's members
	 * @throws IllegalStateException if a target does not respond within 20 s
	 */
	public List<JavaProcess> startTargets(long serviceMillis) {
		List<JavaProcess> started = new ArrayList<>();
		for (Deployment.Member member : this.deployment.members()) {
			started.add(start("target-" + member.settings().vm(),
					List.of("target-stand-in", "--address", Addresses.format(member.settings().targetAddress()),
							"--name", member.settings().vm(), "--service-millis", Long.toString(serviceMillis))));
		}
		for (Deployment.Member member : this.deployment.members()) {
			require("target " + member.settings().vm() + " responds", 20_000,
					() -> this.control.get(member.settings().targetAddress(), "/health").isPresent());
		}
		return started;
	}

	/**
	 * Starts every node as a process, without waiting for it.
	 */
	public void startNodes() {
		this.deployment.members().forEach((member) -> startNode(member.settings().vm()));
	}

	/**
	 * Starts a node as a process, or restarts it after it ended.
	 * @param vm the VM's name
	 */
	public void startNode(String vm) {
		Path file = this.deployment.member(vm).file();
		this.nodes.put(vm, start("node-" + vm, List.of("node", "--settings", file.toString())));
	}

	/**
	 * Returns a node's process.
	 * @param vm the VM's name
	 * @return the process, running or ended; null when it was never started
	 */
	public JavaProcess node(String vm) {
		return this.nodes.get(vm);
	}

	/**
	 * Publishes an operators' text.
	 * @param text the text
	 * @return its revision
	 */
	public long publishText(byte[] text) {
		return publish("/publish/text", text);
	}

	/**
	 * Publishes a VM list.
	 * @param vms the list
	 * @return its revision
	 */
	public long publishVms(byte[] vms) {
		return publish("/publish/vms", vms);
	}

	/**
	 * Fetches a node's status.
	 * @param vm the VM's name
	 * @return the status, or empty when the node does not respond
	 */
	public Optional<StatusReport> status(String vm) {
		return this.control.read(this.deployment.member(vm).settings().operatorAddress(), "/status",
				StatusReport.class);
	}

	/**
	 * Waits until nodes satisfy a condition. A node counts from the first time that it
	 * does.
	 * @param vms names of the VMs
	 * @param millis timeout, in milliseconds
	 * @param condition the condition
	 * @return names of the VMs that did not satisfy it in time
	 */
	public List<String> await(Collection<String> vms, long millis, Predicate<StatusReport> condition) {
		List<String> pending = new ArrayList<>(vms);
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (!pending.isEmpty() && System.nanoTime() < deadlineNanos) {
			pending.removeIf((vm) -> status(vm).filter(condition).isPresent());
			sleep(pending.isEmpty() ? 0 : POLL_MILLIS);
		}
		return pending;
	}

	/**
	 * Starts the platform in this process and targets and nodes as processes, publishes
	 * the deployment's documents and waits until every node is serving.
	 * @param serviceMillis service time of a request at a target, in milliseconds
	 * @param millis timeout, in milliseconds
	 * @throws IllegalStateException if a node is not serving in time
	 */
	public void startServing(long serviceMillis, long millis) {
		PlatformStandIn standIn = embedPlatform();
		standIn.publish(Channel.VMS, this.deployment.vms());
		standIn.publish(Channel.TEXT, this.deployment.text());
		startTargets(serviceMillis);
		startNodes();
		requireAll("serving", millis, (status) -> status.state().equals("serving"));
	}

	/**
	 * Waits until all nodes satisfy a condition.
	 * @param what description of the condition, for the message
	 * @param millis timeout, in milliseconds
	 * @param condition the condition
	 * @throws IllegalStateException if a node does not satisfy it in time
	 */
	public void requireAll(String what, long millis, Predicate<StatusReport> condition) {
		List<String> pending = await(vms(), millis, condition);
		if (!pending.isEmpty()) {
			throw new IllegalStateException("timed out; VMs not " + what + ": " + pending);
		}
	}

	/**
	 * Returns the names of all VMs.
	 * @return the names
	 */
	public List<String> vms() {
		return this.deployment.members().stream().map((member) -> member.settings().vm()).toList();
	}

	/**
	 * Polls a condition until it holds or the time is up.
	 * @param millis timeout, in milliseconds
	 * @param condition the condition
	 * @return true when it held in time
	 */
	public static boolean eventually(long millis, BooleanSupplier condition) {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (System.nanoTime() < deadlineNanos) {
			if (condition.getAsBoolean()) {
				return true;
			}
			sleep(POLL_MILLIS);
		}
		return condition.getAsBoolean();
	}

	/**
	 * Pauses the calling thread. An interrupt ends the pause and stays set.
	 * @param millis time in milliseconds
	 */
	public static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Pauses the calling thread until a time.
	 * @param nanos the time, by {@link System#nanoTime()}; returns at once when it has
	 * passed
	 */
	public static void sleepUntil(long nanos) {
		long left = nanos - System.nanoTime();
		while (left > 0) {
			LockSupport.parkNanos(left);
			left = nanos - System.nanoTime();
		}
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private long publish(String path, byte[] content) {
		return this.control.put(this.platform, path, content)
			.map((answer) -> Json.read(answer.body(), PlatformStandIn.Revision.class).revision())
			.orElseThrow(() -> new IllegalStateException("the platform did not respond to the publication"));
	}

	private JavaProcess start(String name, List<String> arguments) {
		return this.closer.register(JavaProcess.start(name, this.logs.resolve(name + ".log"), arguments));
	}

	private static void require(String what, long millis, BooleanSupplier condition) {
		if (!eventually(millis, condition)) {
			throw new IllegalStateException("timed out waiting until " + what);
		}
	}

}
