package org.eelgrasspitch.scenarios;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.eelgrasspitch.misc.Closer;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.Deployment;
import org.eelgrasspitch.testkit.DeploymentWriter;
import org.eelgrasspitch.testkit.HttpCaller;
import org.eelgrasspitch.testkit.JavaProcess;
import org.eelgrasspitch.testkit.LinkSwitch;
import org.eelgrasspitch.testkit.MetricsReader;
import org.eelgrasspitch.testkit.PlatformStandIn;
import org.eelgrasspitch.testkit.TargetStandIn;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.DocumentParser;
import org.testng.Assert;

/**
 * What the steps of one scenario share: a cluster of real node processes, with platform
 * and targets in the test's own process so that steps can look into them.
 */
public class World {

	private static final Pattern ACCEPTED = Pattern.compile("\"version_accepted\",\"detail\":\"TEXT (\\d+)@");

	private static final int FIRST_OCTET = 110;

	/** Connections that a target accepts, as in the texts that the scenarios publish. */
	private static final int CONNECTIONS = 100;

	private static final int LAST_OCTET = 200;

	/**
	 * Second number of the next scenario's addresses; each scenario uses its own. Two
	 * runs on one machine begin at different numbers.
	 */
	private static int nextOctet = FIRST_OCTET
			+ 2 * (int) (ProcessHandle.current().pid() % ((LAST_OCTET - FIRST_OCTET) / 2));

	private final Closer closer = new Closer();

	private final Map<String, TargetStandIn> targets = new HashMap<>();

	private final Map<String, Map<String, Integer>> executions = new TreeMap<>();

	/** Every published text by its revision. */
	private final Map<Long, byte[]> texts = new HashMap<>();

	/** Names of VMs whose node was killed for good. */
	private final Set<String> gone = new HashSet<>();

	/** Revision of the latest bad text; 0 before the first. */
	private long badRevision;

	/** Targets that run as processes; empty unless a scenario wants them. */
	private List<JavaProcess> targetProcesses = List.of();

	private DeploymentWriter writer;

	private Cluster cluster;

	private PlatformStandIn platform;

	private LinkSwitch links;

	private Path logs;

	/** Revision of the latest text that was published and is acceptable. */
	private long latest;

	/**
	 * Slots in the latest text; every change uses a new number, so that each text
	 * differs.
	 */
	private int slots = 10;

	void start(int nodes, int failureDomains, String extraSettings) {
		start(nodes, failureDomains, List.of("renewals", "archive"), extraSettings);
	}

	/**
	 * Starts a mesh in which each service but the last calls the next one.
	 */
	void startChain(List<String> services, int failureDomains) {
		start(services.size() * failureDomains, failureDomains, services, "");
		for (String vm : this.cluster.vms()) {
			int next = services.indexOf(this.cluster.deployment().member(vm).settings().service()) + 1;
			if (next < services.size()) {
				target(vm).downstream((id) -> this.cluster.control()
					.call(callerPort(vm), HttpCaller.CallSpec.of(services.get(next), "read", id))
					.map(HttpCaller.CallResponse::status)
					.orElse(0));
			}
		}
	}

	private void start(int nodes, int failureDomains, List<String> services, String extraSettings) {
		List<String> names = new ArrayList<>();
		for (int index = 1; index <= failureDomains; index++) {
			names.add("fd-" + index);
		}
		this.writer = new DeploymentWriter(takeOctet(), names, services, nodes, true, extraSettings);
		try {
			this.logs = Files.createDirectories(Path.of(System.getProperty("eelgrasspitch.logs", "target/logs")));
			this.logs = Files.createTempDirectory(this.logs, "scenario");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		Deployment deployment = this.writer.write(this.logs.resolve("deployment"), this.writer.text(this.slots, 0, 0));
		this.cluster = this.closer.register(new Cluster(deployment, this.logs));
		this.platform = this.cluster.embedPlatform();
		this.links = this.closer.register(new LinkSwitch(deployment));
		deployment.members().forEach((member) -> startTarget(member.settings().vm()));
		this.platform.publish(Channel.VMS, deployment.vms());
		this.latest = publish(deployment.text());
		this.cluster.startNodes();
	}

	private static synchronized int takeOctet() {
		int taken = nextOctet;
		nextOctet = (taken + 2 < LAST_OCTET) ? taken + 2 : FIRST_OCTET;
		return taken;
	}

	void startTarget(String vm) {
		Map<String, Integer> record = this.executions.computeIfAbsent(vm, (name) -> TargetStandIn.newExecutions());
		TargetStandIn.Options options = new TargetStandIn.Options(vm,
				this.cluster.deployment().member(vm).settings().targetAddress(), this.slots, CONNECTIONS, 2, 0, 0);
		this.targets.put(vm, this.closer.register(new TargetStandIn(options, record, () -> {
		})));
	}

	void replaceTargetsByProcesses() {
		this.targets.values().forEach(TargetStandIn::close);
		this.targetProcesses = this.cluster.startTargets(2);
	}

	List<JavaProcess> deadTargets() {
		return this.targetProcesses.stream().filter((process) -> !process.isAlive()).toList();
	}

	long publishChange() {
		this.latest = publish(nextText());
		return this.latest;
	}

	/**
	 * Publishes a text in which the first service depends on another, on the same under a
	 * new name, or on nothing because the other is gone.
	 */
	void publishShape(Shape shape) {
		String whole = new String(nextText(), StandardCharsets.UTF_8).replaceFirst("\"slots\"",
				"\"dependsOn\": [\"archive\"], \"slots\"");
		DeploymentWriter alone = new DeploymentWriter(this.writer.octet(), this.writer.failureDomains(),
				List.of("renewals"), this.writer.nodes(), true, "");
		this.latest = publish(switch (shape) {
			case WHOLE -> whole.getBytes(StandardCharsets.UTF_8);
			case RENAMED -> whole.replace("\"archive\"", "\"registry\"").getBytes(StandardCharsets.UTF_8);
			case REMOVED -> alone.text(this.slots, 0, 0);
		});
	}

	/**
	 * Publishes a change that was written against a text which is not in force.
	 */
	void publishRaced() {
		String text = new String(nextText(), StandardCharsets.UTF_8);
		String base = "{\"base\": \"%s\", ".formatted(Digest.of(new byte[0]).hex());
		this.latest = publish(text.replaceFirst("\\{", base).getBytes(StandardCharsets.UTF_8));
	}

	void publishBad(byte[] text) {
		this.badRevision = publish(text);
	}

	long badRevision() {
		return this.badRevision;
	}

	byte[] textOf(long revision) {
		return this.texts.get(revision);
	}

	void gone(String vm) {
		this.gone.add(vm);
	}

	/**
	 * Returns the names of the VMs whose node was not killed for good.
	 */
	List<String> alive() {
		return this.cluster.vms().stream().filter((vm) -> !this.gone.contains(vm)).toList();
	}

	/**
	 * Returns the latest text with a fault in it.
	 */
	byte[] broken(String fault) {
		String text = new String(textOf(this.latest), StandardCharsets.UTF_8);
		String changed = switch (fault) {
			case "has a dangling dependency" -> text.replaceFirst("\"slots\"", "\"dependsOn\": [\"gone\"], \"slots\"");
			case "has a cycle" -> text.replaceFirst("\"slots\"", "\"dependsOn\": [\"archive\"], \"slots\"")
				.replaceFirst("(\"archive\",) \"slots\"", "$1 \"dependsOn\": [\"renewals\"], \"slots\"");
			case "is truncated" -> text.substring(0, text.length() / 2);
			case "is empty" -> "";
			case "is too large" -> text + " ".repeat(DocumentParser.MAX_DOCUMENT_BYTES);
			case "is over a limit" -> text.replaceFirst("\"slots\": \\d+", "\"slots\": 99999");
			default -> throw new IllegalArgumentException(fault);
		};
		return changed.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Cuts one direction between a failure domain and all others.
	 */
	void cut(String failureDomain, boolean outbound) {
		List<String> inside = vmsOf(failureDomain);
		for (String vm : this.cluster.vms()) {
			for (String member : inside) {
				if (!inside.contains(vm)) {
					this.links.cut(outbound ? member : vm, outbound ? vm : member);
				}
			}
		}
	}

	private byte[] nextText() {
		this.slots++;
		return this.writer.text(this.slots, 0, 0);
	}

	private long publish(byte[] text) {
		long revision = this.platform.publish(Channel.TEXT, text);
		this.texts.put(revision, text);
		return revision;
	}

	DeploymentWriter writer() {
		return this.writer;
	}

	Cluster cluster() {
		return this.cluster;
	}

	PlatformStandIn platform() {
		return this.platform;
	}

	LinkSwitch links() {
		return this.links;
	}

	InetSocketAddress callerPort(String vm) {
		return this.cluster.deployment().member(vm).settings().callerAddress();
	}

	InetSocketAddress operatorPort(String vm) {
		return this.cluster.deployment().member(vm).settings().operatorAddress();
	}

	/**
	 * Returns the names of the VMs whose target runs a service.
	 */
	List<String> vmsOfService(String service) {
		return this.cluster.deployment().ofService(service).stream().map((member) -> member.settings().vm()).toList();
	}

	/**
	 * Adds up a metric over all nodes.
	 * @param labels part of a line that it must contain, or empty
	 */
	double metric(String name, String labels) {
		return this.cluster.vms()
			.stream()
			.mapToDouble((vm) -> MetricsReader.sum(caller(), operatorPort(vm), name, labels))
			.sum();
	}

	/**
	 * Waits until every node serves a confirmed text.
	 */
	void requireServing(long millis) {
		List<String> open = this.cluster.await(this.cluster.vms(), millis,
				(status) -> status.state().equals("serving"));
		Assert.assertTrue(open.isEmpty(), open + " do not serve");
	}

	HttpCaller caller() {
		return this.cluster.control();
	}

	TargetStandIn target(String vm) {
		return this.targets.get(vm);
	}

	long latest() {
		return this.latest;
	}

	List<String> vmsOf(String failureDomain) {
		return this.cluster.deployment()
			.members()
			.stream()
			.filter((member) -> member.settings().failureDomain().equals(failureDomain))
			.map((member) -> member.settings().vm())
			.toList();
	}

	/**
	 * Tells whether a request started at any target by now.
	 */
	boolean hasStarted(String id) {
		return this.executions.values().stream().anyMatch((record) -> {
			synchronized (record) {
				return record.containsKey(id);
			}
		});
	}

	/**
	 * Returns the requests that reached the targets of a service, refused ones included.
	 */
	int reached(String service) {
		int reached = 0;
		for (String vm : vmsOfService(service)) {
			reached += target(vm).receivedWhileDraining();
			reached += target(vm).executionList().stream().mapToInt(TargetStandIn.Execution::count).sum();
		}
		return reached;
	}

	/**
	 * Returns how often each request started, over all targets.
	 */
	Map<String, Integer> starts() {
		Map<String, Integer> total = new TreeMap<>();
		this.executions.values().forEach((record) -> {
			synchronized (record) {
				record.forEach((id, count) -> total.merge(id, count, Integer::sum));
			}
		});
		return total;
	}

	/**
	 * Returns the revisions that a node accepted, over all its processes, in order.
	 */
	List<Long> acceptedRevisions(String vm) {
		try {
			List<Long> revisions = new ArrayList<>();
			for (String line : Files.readAllLines(this.logs.resolve("node-" + vm + ".log"))) {
				Matcher matcher = ACCEPTED.matcher(line);
				if (matcher.find()) {
					revisions.add(Long.valueOf(matcher.group(1)));
				}
			}
			return revisions;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the VMs whose node at some time went to an older revision.
	 */
	List<String> movedBack() {
		List<String> back = new ArrayList<>();
		for (String vm : this.cluster.vms()) {
			List<Long> revisions = acceptedRevisions(vm);
			for (int index = 1; index < revisions.size(); index++) {
				if (revisions.get(index) < revisions.get(index - 1)) {
					back.add(vm + " " + revisions);
					break;
				}
			}
		}
		return back;
	}

	void close() {
		this.closer.close();
	}

	/**
	 * What a text says of the second service.
	 */
	enum Shape {

		/** It is there, and the first depends on it. */
		WHOLE,

		/** It has another name, in its definition and in the dependency. */
		RENAMED,

		/** It is gone, and the dependency with it. */
		REMOVED

	}

}
