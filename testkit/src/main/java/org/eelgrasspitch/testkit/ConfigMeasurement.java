package org.eelgrasspitch.testkit;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.HdrHistogram.Histogram;
import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.text.Channel;

/**
 * Measures how fast a configuration change reaches all nodes and what it costs: time
 * until each node holds it, control bytes, platform calls, processor time and memory,
 * while idle, per change, and when all nodes resume from suspension at once.
 * <p>
 * Nodes run as separate processes on loopback addresses; the platform runs in this
 * process. The time at which a node accepted a version is taken from its log, which uses
 * the same clock.
 */
public final class ConfigMeasurement {

	private static final Pattern ACCEPTED = Pattern
		.compile("\"time\":\"([^\"]+)\".*\"version_accepted\",\"detail\":\"TEXT (\\d+)@");

	private static final long START_TIMEOUT_MILLIS = 120_000;

	private static final long CONVERGE_TIMEOUT_MILLIS = 30_000;

	private static final long IDLE_MILLIS = 10_000;

	private static final int CHANGES = 10;

	private static final long CHANGE_INTERVAL_MILLIS = 1_000;

	private static final long PAUSE_MILLIS = 3_000;

	private static final int HEAP_SAMPLES = 3;

	private static final int MAX_RECORDED_MILLIS = 600_000;

	private final Cluster cluster;

	private final PlatformStandIn platform;

	private final Plan plan;

	private final TextSource texts;

	private final Path logs;

	private ConfigMeasurement(Plan plan, Deployment deployment, TextSource texts, Path logs, Cluster cluster) {
		this.plan = plan;
		this.texts = texts;
		this.logs = logs;
		this.cluster = cluster;
		this.platform = cluster.embedPlatform();
		this.platform.publish(Channel.VMS, deployment.vms());
	}

	/**
	 * Measures a generated deployment.
	 * @param plan the parameters
	 * @param directory an empty directory for files and logs
	 * @param progress receives progress lines
	 * @return the result
	 */
	public static Result run(Plan plan, Path directory, PrintStream progress) {
		String settings = "\"distribution\": \"" + plan.distribution() + "\", \"pauseMillis\": 2000";
		DeploymentWriter writer = new DeploymentWriter(plan.octet(), names("fd-", plan.failureDomains()),
				names("service-", plan.services()), plan.nodes(), false, settings);
		TextSource texts = (slots) -> writer.text(slots, plan.padding(), plan.operations());
		Deployment deployment = writer.write(directory.resolve("deployment"),
				texts.text(DeploymentWriter.DEFAULT_SLOTS));
		try (Cluster cluster = new Cluster(deployment, directory)) {
			return new ConfigMeasurement(plan, deployment, texts, directory, cluster).run(progress);
		}
	}

	/**
	 * Measures a deployment read from files. The published changes alter the first
	 * {@code slots} value in the text.
	 * @param files directory of the deployment
	 * @param directory an empty directory for logs
	 * @param progress receives progress lines
	 * @return the result
	 */
	public static Result run(Path files, Path directory, PrintStream progress) {
		Deployment deployment = Deployment.read(files);
		String text = new String(deployment.text(), StandardCharsets.UTF_8);
		TextSource texts = (slots) -> text.replaceFirst("\"slots\": \\d+", "\"slots\": " + slots)
			.getBytes(StandardCharsets.UTF_8);
		Plan plan = new Plan(deployment.members().size(), 0, 0, 0, 0, Distribution.DELTAS, 0);
		try (Cluster cluster = new Cluster(deployment, directory)) {
			return new ConfigMeasurement(plan, deployment, texts, directory, cluster).run(progress);
		}
	}

	private Result run(PrintStream progress) {
		progress.printf("%d nodes, %s: starting%n", this.plan.nodes(), this.plan.distribution());
		byte[] first = this.texts.text(DeploymentWriter.DEFAULT_SLOTS);
		this.platform.publish(Channel.TEXT, first);
		this.cluster.startNodes();
		await("serving", START_TIMEOUT_MILLIS, 1);
		Cluster.sleep(5_000);
		progress.printf("%d nodes, %s: idle%n", this.plan.nodes(), this.plan.distribution());
		Sample before = sample();
		Cluster.sleep(IDLE_MILLIS);
		Usage idle = sample().since(before);
		progress.printf("%d nodes, %s: %d changes%n", this.plan.nodes(), this.plan.distribution(), CHANGES);
		Histogram convergenceTimes = new Histogram(MAX_RECORDED_MILLIS, 3);
		Sample beforeChanges = sample();
		for (int index = 1; index <= CHANGES; index++) {
			change(DeploymentWriter.DEFAULT_SLOTS + index, convergenceTimes, Instant.now());
		}
		Usage changes = sample().since(beforeChanges);
		progress.printf("%d nodes, %s: resuming all nodes%n", this.plan.nodes(), this.plan.distribution());
		Histogram wakeTimes = new Histogram(MAX_RECORDED_MILLIS, 3);
		Usage wake = wake(wakeTimes);
		return new Result(this.plan, first.length, millis(convergenceTimes), millis(wakeTimes), idle,
				changes.minus(idle, CHANGES), wake, liveHeap(), resident());
	}

	private void change(int slots, Histogram convergenceTimes, Instant published) {
		long revision = this.platform.publish(Channel.TEXT, this.texts.text(slots));
		Cluster.sleep(CHANGE_INTERVAL_MILLIS);
		await("holding revision " + revision, CONVERGE_TIMEOUT_MILLIS, revision);
		acceptedAt(revision)
			.forEach((at) -> convergenceTimes.recordValue(Math.max(0, at.toEpochMilli() - published.toEpochMilli())));
	}

	private Usage wake(Histogram wakeTimes) {
		this.cluster.vms().forEach((vm) -> this.cluster.node(vm).pause());
		long revision = this.platform.publish(Channel.TEXT,
				this.texts.text(DeploymentWriter.DEFAULT_SLOTS + CHANGES + 1));
		Cluster.sleep(PAUSE_MILLIS);
		Sample before = sampleWithoutNodes();
		Instant resumed = Instant.now();
		this.cluster.vms().forEach((vm) -> this.cluster.node(vm).resume());
		await("holding revision " + revision, CONVERGE_TIMEOUT_MILLIS, revision);
		acceptedAt(revision)
			.forEach((at) -> wakeTimes.recordValue(Math.max(0, at.toEpochMilli() - resumed.toEpochMilli())));
		return sampleWithoutNodes().since(before);
	}

	private void await(String what, long millis, long revision) {
		this.cluster.requireAll(what, millis,
				(status) -> status.revision() == revision && !status.state().equals("starting"));
	}

	private List<Instant> acceptedAt(long revision) {
		List<Instant> times = new ArrayList<>();
		for (String vm : this.cluster.vms()) {
			for (String line : lines(this.logs.resolve("node-" + vm + ".log"))) {
				Matcher matcher = ACCEPTED.matcher(line);
				if (matcher.find() && Long.parseLong(matcher.group(2)) == revision) {
					times.add(Instant.parse(matcher.group(1)));
				}
			}
		}
		return times;
	}

	private Sample sample() {
		Map<String, Double> bytes = new HashMap<>();
		PlatformStandIn.Counts counts = this.platform.counts();
		long cpu = 0;
		for (Deployment.Member member : this.cluster.deployment().members()) {
			String vm = member.settings().vm();
			double peers = MetricsReader.sum(this.cluster.control(), member.settings().operatorAddress(),
					"eelgrasspitch_peer_bytes_total", "purpose=\"fleet\"");
			bytes.put(vm, peers + counts.bytes(vm));
			cpu += ProcessUsage.cpuMillis(this.cluster.node(vm).pid());
		}
		return new Sample(System.nanoTime(), bytes, cpu, counts.calls());
	}

	private Sample sampleWithoutNodes() {
		return new Sample(System.nanoTime(), Map.of(), 0, this.platform.counts().calls());
	}

	private long liveHeap() {
		return this.cluster.vms()
			.stream()
			.limit(HEAP_SAMPLES)
			.mapToLong((vm) -> ProcessUsage.liveHeapBytes(this.cluster.node(vm).pid()))
			.max()
			.orElse(0);
	}

	private long resident() {
		return this.cluster.vms()
			.stream()
			.mapToLong((vm) -> ProcessUsage.residentBytes(this.cluster.node(vm).pid()))
			.max()
			.orElse(0);
	}

	private static Millis millis(Histogram histogram) {
		return new Millis(histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(99),
				histogram.getMaxValue());
	}

	private static List<String> names(String prefix, int count) {
		List<String> names = new ArrayList<>();
		for (int index = 1; index <= count; index++) {
			names.add(prefix + index);
		}
		return names;
	}

	private static List<String> lines(Path file) {
		try {
			return Files.readAllLines(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Creates the operators' text with a given number of slots.
	 */
	@FunctionalInterface
	private interface TextSource {

		byte[] text(int slots);

	}

	/**
	 * Parameters of a measurement.
	 *
	 * @param nodes number of nodes
	 * @param failureDomains number of failure domains
	 * @param services number of services
	 * @param operations further operations of each service, which make the text longer
	 * @param padding length of the random part of their names
	 * @param distribution how documents are distributed
	 * @param octet second octet of all addresses
	 */
	public record Plan(int nodes, int failureDomains, int services, int operations, int padding,
			Distribution distribution, int octet) {

	}

	/**
	 * Times until nodes held a version, over all nodes and changes.
	 *
	 * @param median median, in milliseconds
	 * @param p99 99th percentile, in milliseconds
	 * @param last maximum, in milliseconds
	 */
	public record Millis(long median, long p99, long last) {

	}

	/**
	 * Resources used during a period.
	 *
	 * @param seconds length of the period
	 * @param meanBytes control bytes of a node, in and out, mean over all nodes
	 * @param mostBytes control bytes of the node with the highest number
	 * @param cpuMillis processor time of a node, mean over all nodes, in milliseconds
	 * @param platformCalls calls to the platform by all nodes
	 */
	public record Usage(double seconds, double meanBytes, double mostBytes, double cpuMillis, long platformCalls) {

		/**
		 * Subtracts the usage of an idle fleet over the same time and divides by a number
		 * of events.
		 */
		Usage minus(Usage idle, int events) {
			double share = this.seconds / idle.seconds;
			return new Usage(this.seconds / events, (this.meanBytes - idle.meanBytes * share) / events,
					(this.mostBytes - idle.mostBytes * share) / events,
					(this.cpuMillis - idle.cpuMillis * share) / events,
					Math.round((this.platformCalls - idle.platformCalls * share) / events));
		}

	}

	/**
	 * The result of one measurement.
	 *
	 * @param plan the parameters
	 * @param textBytes length of the first text
	 * @param convergence time from publication until a node accepted the version
	 * @param wake time from resumption until a node accepted the version published
	 * meanwhile
	 * @param idle usage while nothing changes
	 * @param perChange usage per change, beyond idle usage
	 * @param perWake usage per resumption of all nodes; only time and platform calls are
	 * measured
	 * @param liveHeapBytes heap usage of a node after a garbage collection, maximum over
	 * the sampled nodes
	 * @param residentBytes resident set size of a node, maximum over all nodes
	 */
	public record Result(Plan plan, int textBytes, Millis convergence, Millis wake, Usage idle, Usage perChange,
			Usage perWake, long liveHeapBytes, long residentBytes) {

		/**
		 * Returns the header of the table.
		 * @return one line
		 */
		public static String heading() {
			return "nodes  distribution  text KB  change ms p50/p99/last  wake ms p50/p99/last  idle B/s mean/most"
					+ "  change B mean/most  idle CPU %  change CPU ms  calls/s idle  calls per change  calls per wake"
					+ "  heap MB  RSS MB";
		}

		/**
		 * Formats the result as a row of the table.
		 * @return one line
		 */
		public String row() {
			return "%5d  %12s  %7d  %7d/%6d/%6d  %6d/%6d/%6d  %9.0f/%8.0f  %8.0f/%9.0f  %10.2f  %13.1f  %12.1f  %16d  %14d  %7.1f  %6.1f"
				.formatted(this.plan.nodes, this.plan.distribution, this.textBytes / 1000, this.convergence.median,
						this.convergence.p99, this.convergence.last, this.wake.median, this.wake.p99, this.wake.last,
						this.idle.meanBytes / this.idle.seconds, this.idle.mostBytes / this.idle.seconds,
						this.perChange.meanBytes, this.perChange.mostBytes,
						this.idle.cpuMillis / this.idle.seconds / 10, this.perChange.cpuMillis,
						this.idle.platformCalls / this.idle.seconds, this.perChange.platformCalls,
						this.perWake.platformCalls, this.liveHeapBytes / 1e6, this.residentBytes / 1e6);
		}

	}

	/**
	 * Values of the counters at one time.
	 *
	 * @param nanos time by {@link System#nanoTime()}
	 * @param bytes control bytes by VM
	 * @param cpuMillis processor time of all nodes, in milliseconds
	 * @param platformCalls calls of all nodes
	 */
	private record Sample(long nanos, Map<String, Double> bytes, long cpuMillis, long platformCalls) {

		Usage since(Sample earlier) {
			double max = 0;
			double sum = 0;
			for (Map.Entry<String, Double> entry : this.bytes.entrySet()) {
				double used = entry.getValue() - earlier.bytes.get(entry.getKey());
				max = Math.max(max, used);
				sum += used;
			}
			int nodes = Math.max(1, this.bytes.size());
			return new Usage((this.nanos - earlier.nanos) / 1e9, sum / nodes, max,
					(this.cpuMillis - earlier.cpuMillis) / (double) nodes, this.platformCalls - earlier.platformCalls);
		}

	}

}
