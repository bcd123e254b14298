package org.eelgrasspitch.testkit;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.regex.Pattern;

import org.eelgrasspitch.misc.Closer;
import org.eelgrasspitch.node.NodeSettings;
import org.eelgrasspitch.node.StatusReport;
import org.eelgrasspitch.text.DocumentParser;
import org.eelgrasspitch.text.OperationKind;

/**
 * Runs a whole deployment in separate processes under load, changes the configuration,
 * publishes an invalid text, restarts a node and drains a target, and checks the system's
 * guarantees.
 */
public final class Demo {

	private static final long SERVICE_MILLIS = 5;

	private static final long START_TIMEOUT_MILLIS = 40_000;

	private static final long CONVERGE_TIMEOUT_MILLIS = 13_000;

	private static final long SEED = 20_261_203;

	private final Cluster cluster;

	private final PrintStream out;

	private final List<String> failures = new ArrayList<>();

	private final List<String> rows = new ArrayList<>();

	private final long startedAt = System.nanoTime();

	private Demo(Cluster cluster, PrintStream out) {
		this.cluster = cluster;
		this.out = out;
	}

	/**
	 * Runs the demonstration.
	 * @param directory directory of the deployment's files
	 * @param logs directory for the output of processes
	 * @param out receives progress and the result table
	 * @return true when every check passed
	 */
	public static boolean run(Path directory, Path logs, PrintStream out) {
		try (Cluster cluster = new Cluster(Deployment.read(directory), logs)) {
			Thread hook = new Thread(cluster::close);
			Runtime.getRuntime().addShutdownHook(hook);
			boolean passed = new Demo(cluster, out).run();
			Runtime.getRuntime().removeShutdownHook(hook);
			return passed;
		}
	}

	private boolean run() {
		startCluster();
		try (Closer closer = new Closer()) {
			LoadGenerator load = closer.register(new LoadGenerator(callerAddresses(), flows(), 12_000));
			load.start(SEED);
			Cluster.sleep(3_000);
			publishChange();
			publishInvalidText();
			restartNode();
			drainTarget();
			progress("stopping callers");
			load.stop();
			checkLoad(load);
		}
		reportControlTraffic();
		printReport();
		return this.failures.isEmpty();
	}

	private void startCluster() {
		int count = this.cluster.vms().size();
		progress("starting the platform, " + count + " targets and " + count + " nodes");
		this.cluster.startPlatform();
		this.cluster.publishVms(this.cluster.deployment().vms());
		this.cluster.publishText(this.cluster.deployment().text());
		this.cluster.startNodes();
		this.cluster.startTargets(SERVICE_MILLIS);
		awaitAll("serving revision 1", START_TIMEOUT_MILLIS,
				(status) -> status.state().equals("serving") && status.revision() == 1);
	}

	private void publishChange() {
		progress("publishing a change");
		byte[] changed = editedText("\"slots\": 10", "\"slots\": 9");
		long publishedAt = System.nanoTime();
		long revision = this.cluster.publishText(changed);
		awaitAll("the change in force", CONVERGE_TIMEOUT_MILLIS, (status) -> status.revision() == revision);
		row("convergence of a change, last node", (System.nanoTime() - publishedAt) / 1_000_000 + " ms");
	}

	private void publishInvalidText() {
		progress("publishing a text with a dangling dependency");
		long revision = this.cluster.status(firstVm()).orElseThrow().revision();
		long rejected = this.cluster.publishText(editedText("\"dependsOn\": [", "\"dependsOn\": [\"nowhere\", "));
		awaitAll("the bad version reported", CONVERGE_TIMEOUT_MILLIS,
				(status) -> status.rejectedRevision() == rejected);
		awaitAll("the last good version kept", CONVERGE_TIMEOUT_MILLIS, (status) -> status.revision() == revision);
		row("bad version", "refused by every node, revision " + revision + " kept");
	}

	private void restartNode() {
		String vm = firstVm();
		progress("killing and restarting the node on " + vm);
		this.cluster.node(vm).kill();
		this.cluster.startNode(vm);
		long revision = this.cluster.status(this.cluster.vms().get(1)).orElseThrow().revision();
		List<String> pending = this.cluster.await(List.of(vm), START_TIMEOUT_MILLIS,
				(status) -> status.state().equals("serving") && status.revision() == revision);
		expect(pending.isEmpty(), "the restarted node serves the same revision");
		row("node restarted", "serves revision " + revision);
	}

	private void drainTarget() {
		String vm = this.cluster.vms().get(this.cluster.vms().size() - 1);
		progress("draining the target on " + vm);
		NodeSettings settings = this.cluster.deployment().member(vm).settings();
		this.cluster.control().post(settings.targetAddress(), "/-/faults?drain=true");
		Cluster.sleep(3_000);
		int receivedBefore = receivedWhileDraining(settings);
		Cluster.sleep(3_000);
		int receivedAfter = receivedWhileDraining(settings) - receivedBefore;
		expect(receivedAfter == 0, "a draining target receives no new work after 3 s (got " + receivedAfter + ")");
		row("requests at the draining target after 3 s", Integer.toString(receivedAfter));
	}

	private int receivedWhileDraining(NodeSettings settings) {
		return this.cluster.control()
			.post(settings.targetAddress(), "/-/faults")
			.map((answer) -> Integer.parseInt(new String(answer.body(), StandardCharsets.UTF_8)))
			.orElse(0);
	}

	private void checkLoad(LoadGenerator load) {
		Map<String, Integer> executions = Executions.read(this.cluster);
		load.outcomes().forEach((name, count) -> row("requests " + name, Integer.toString(count)));
		int maxRuns = 0;
		for (Map.Entry<String, Integer> entry : executions.entrySet()) {
			boolean atMostOnce = flows().stream()
				.filter(LoadGenerator.Flow::atMostOnce)
				.anyMatch((flow) -> entry.getKey().startsWith(flow.service() + "-" + flow.operation() + "-"));
			if (atMostOnce) {
				maxRuns = Math.max(maxRuns, entry.getValue());
			}
		}
		row("most runs of an at-most-once request", Integer.toString(maxRuns));
		expect(maxRuns == 1, "at-most-once requests ran, and none twice");
		expect(load.violations().isEmpty(), "every answer belongs to its request " + load.violations());
		expect(load.refused().stream().noneMatch(executions::containsKey), "refused requests did not run");
		expect(executions.keySet().containsAll(load.paid()), "every answered payment ran");
		expect(!load.paid().isEmpty(), "payments were answered");
	}

	private void reportControlTraffic() {
		PlatformStandIn.Counts counts = this.cluster.control()
			.get(this.cluster.platform(), "/counts")
			.map((answer) -> Json.read(answer.body(), PlatformStandIn.Counts.class))
			.orElseThrow();
		long seconds = Math.max(1, (System.nanoTime() - this.startedAt) / 1_000_000_000);
		row("platform calls", counts.calls() + " in " + seconds + " s");
		double max = 0;
		double sum = 0;
		for (Deployment.Member member : this.cluster.deployment().members()) {
			double bytes = MetricsReader.sum(this.cluster.control(), member.settings().operatorAddress(),
					"eelgrasspitch_peer_bytes_total", "purpose=\"fleet\"") + counts.bytes(member.settings().vm());
			max = Math.max(max, bytes);
			sum += bytes;
		}
		row("control bytes per node and second, mean", "%.0f".formatted(sum / this.cluster.vms().size() / seconds));
		row("control bytes per node and second, most", "%.0f".formatted(max / seconds));
	}

	private void printReport() {
		this.out.println();
		int width = this.rows.stream().mapToInt((row) -> row.indexOf('\t')).max().orElse(0) + 2;
		for (String row : this.rows) {
			int tab = row.indexOf('\t');
			this.out.println(row.substring(0, tab) + " ".repeat(width - tab) + row.substring(tab + 1));
		}
		this.out.println();
		this.failures.forEach((failure) -> this.out.println("FAILED: " + failure));
		this.out.println(this.failures.isEmpty() ? "All checks passed." : "Some checks failed.");
	}

	private void awaitAll(String what, long millis, Predicate<StatusReport> condition) {
		List<String> pending = this.cluster.await(this.cluster.vms(), millis, condition);
		expect(pending.isEmpty(), what + " (not on " + pending + ")");
	}

	private void expect(boolean condition, String what) {
		if (!condition) {
			this.failures.add(what);
			progress("FAILED: " + what);
		}
	}

	private List<InetSocketAddress> callerAddresses() {
		return this.cluster.deployment().members().stream().map((member) -> member.settings().callerAddress()).toList();
	}

	/**
	 * Creates a flow for each operation in the text, so that the demonstration runs any
	 * deployment.
	 */
	private List<LoadGenerator.Flow> flows() {
		List<LoadGenerator.Flow> flows = new ArrayList<>();
		DocumentParser.parseText(1, this.cluster.deployment().text())
			.forEach((checked) -> checked.value().routes().values().forEach((route) -> {
				boolean atMostOnce = route.operation().kind() == OperationKind.AT_MOST_ONCE;
				flows.add(new LoadGenerator.Flow(route.service().name(), route.operation().name(), atMostOnce, 20));
			}));
		return flows;
	}

	private byte[] editedText(String from, String to) {
		String text = new String(this.cluster.deployment().text(), StandardCharsets.UTF_8);
		return text.replaceFirst(Pattern.quote(from), to).getBytes(StandardCharsets.UTF_8);
	}

	private String firstVm() {
		return this.cluster.vms().get(0);
	}

	private void row(String name, String value) {
		this.rows.add(name + "\t" + value);
	}

	private void progress(String what) {
		this.out.printf("%6.1f s  %s%n", (System.nanoTime() - this.startedAt) / 1e9, what);
	}

}
