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
 * A running deployment: platform, targets and nodes. Nodes are always processes of their
 * own; platform and targets are too, unless a test keeps them in its own process to look
 * into them.
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
	 * Prepares a cluster.
	 * @param deployment what to run
	 * @param logs directory for the output of processes
	 */
	public Cluster(Deployment deployment, Path logs) {
		this.deployment = deployment;
		this.logs = logs;
		String url = deployment.members().get(0).settings().platformUrl();
		this.platform = Addresses.parse(url.substring("http://".length())).orElseThrow();
	}

	/**
	 * Returns what runs here.
	 * @return the deployment
	 */
	public Deployment deployment() {
		return this.deployment;
	}

	/**
	 * Returns the client for operators' ports and stand-ins.
	 * @return the client
	 */
	public HttpCaller control() {
		return this.control;
	}

	/**
	 * Returns where the platform listens.
	 * @return the address
	 */
	public InetSocketAddress platform() {
		return this.platform;
	}

	/**
	 * Starts the platform as a process.
	 */
	public void startPlatform() {
		start("platform", List.of("platform-stand-in", "--address", Addresses.format(this.platform)));
		require("the platform answers", 10_000, () -> this.control.get(this.platform, "/counts").isPresent());
	}

	/**
	 * Starts the platform in this process.
	 * @return the platform
	 */
	public PlatformStandIn embedPlatform() {
		return this.closer.register(new PlatformStandIn(this.platform));
	}

	/**
	 * Starts every target as a process.
	 * @param serviceMillis time that a request takes, in milliseconds
	 * @return the processes
	 */
	public List<JavaProcess> startTargets(long serviceMillis) {
		List<JavaProcess> started = new ArrayList<>();
		for (Deployment.Member member : this.deployment.members()) {
			started.add(start("target-" + member.settings().vm(),
					List.of("target-stand-in", "--address", Addresses.format(member.settings().targetAddress()),
							"--name", member.settings().vm(), "--service-millis", Long.toString(serviceMillis))));
		}
		for (Deployment.Member member : this.deployment.members()) {
			require("target " + member.settings().vm() + " answers", 20_000,
					() -> this.control.get(member.settings().targetAddress(), "/health").isPresent());
		}
		return started;
	}

	/**
	 * Starts every node.
	 */
	public void startNodes() {
		this.deployment.members().forEach((member) -> startNode(member.settings().vm()));
	}

	/**
	 * Starts a node, or starts it again after it ended.
	 * @param vm the VM's name
	 */
	public void startNode(String vm) {
		Path file = this.deployment.member(vm).file();
		this.nodes.put(vm, start("node-" + vm, List.of("node", "--settings", file.toString())));
	}

	/**
	 * Returns a node's process.
	 * @param vm the VM's name
	 * @return the process, running or ended
	 */
	public JavaProcess node(String vm) {
		return this.nodes.get(vm);
	}

	/**
	 * Publishes a text.
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
	 * Asks a node for its status.
	 * @param vm the VM's name
	 * @return the status, or empty when it does not answer
	 */
	public Optional<StatusReport> status(String vm) {
		return this.control.read(this.deployment.member(vm).settings().operatorAddress(), "/status",
				StatusReport.class);
	}

	/**
	 * Waits until nodes satisfy a condition.
	 * @param vms names of the VMs
	 * @param millis longest wait, in milliseconds
	 * @param condition the condition
	 * @return names of the VMs that do not satisfy it in time
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
	 * Starts the platform in this process and targets and nodes as processes, and waits
	 * until every node serves the deployment's text.
	 * @param serviceMillis time that a target's request takes, in milliseconds
	 * @param millis longest wait, in milliseconds
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
	 * Waits until all nodes satisfy a condition, and fails when they do not in time.
	 * @param what names the condition
	 * @param millis longest wait, in milliseconds
	 * @param condition the condition
	 */
	public void requireAll(String what, long millis, Predicate<StatusReport> condition) {
		List<String> pending = await(vms(), millis, condition);
		if (!pending.isEmpty()) {
			throw new IllegalStateException("not " + what + ": " + pending);
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
	 * Waits for a condition.
	 * @param millis longest wait, in milliseconds
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
	 * Pauses the calling thread.
	 * @param millis milliseconds
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
	 * @param nanos the time, as {@link System#nanoTime()} counts it
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
			.orElseThrow(() -> new IllegalStateException("the platform does not answer"));
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
