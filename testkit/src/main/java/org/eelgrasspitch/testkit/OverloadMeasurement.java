package org.eelgrasspitch.testkit;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import org.eelgrasspitch.request.Guards;
import org.eelgrasspitch.testkit.HttpCaller.CallResponse;
import org.eelgrasspitch.testkit.HttpCaller.CallSpec;

/**
 * Measures throughput and latency at half of the targets' capacity, at twice the
 * capacity, and at half of it again, and the time until latency has recovered. The load
 * is open-loop: each call has a scheduled time, and its latency counts from then. One
 * call in ten is at-most-once, with a higher priority than the others.
 * <p>
 * Three targets with ten slots and 100 ms per call have a capacity of 300 calls per
 * second. The load comes from this process; nodes and targets run as separate processes.
 */
public final class OverloadMeasurement {

	private static final long START_TIMEOUT_MILLIS = 60_000;

	private static final long CALL_TIMEOUT_MILLIS = 15_000;

	private static final int TARGETS = 3;

	private static final int SERVICE_MILLIS = 100;

	private static final int CAPACITY_PER_SECOND = 300;

	private static final int CALLS_PER_PAYMENT = 10;

	private static final int WARMUP_SECONDS = 8;

	private static final int BASELINE_SECONDS = 5;

	private static final int OVERLOAD_SECONDS = 15;

	private static final int RECOVERY_SECONDS = 15;

	/**
	 * Latency has recovered when it is at most this multiple of the one before the
	 * overload.
	 */
	private static final int RECOVERY_FACTOR = 2;

	private static final int OK = 200;

	private static final String SERVICE = "renewals";

	private final Cluster cluster;

	private final HttpCaller caller = new HttpCaller(CALL_TIMEOUT_MILLIS);

	private int number;

	private OverloadMeasurement(Cluster cluster) {
		this.cluster = cluster;
	}

	/**
	 * Runs one measurement.
	 * @param guards the overload guards to enable
	 * @param octet second octet of all addresses
	 * @param directory an empty directory for files and logs
	 * @param progress receives progress lines
	 * @return the result
	 */
	public static Result run(Guards guards, int octet, Path directory, PrintStream progress) {
		DeploymentWriter writer = new DeploymentWriter(octet, List.of("fd-1"), List.of(SERVICE), TARGETS, false,
				"\"guards\": \"" + guards + "\"");
		Deployment deployment = writer.write(directory.resolve("deployment"),
				writer.text(DeploymentWriter.DEFAULT_SLOTS, 0, 0));
		try (Cluster cluster = new Cluster(deployment, directory)) {
			cluster.startServing(SERVICE_MILLIS, START_TIMEOUT_MILLIS);
			return new OverloadMeasurement(cluster).run(guards, progress);
		}
	}

	private Result run(Guards guards, PrintStream progress) {
		progress.printf("guards %s: warming up%n", guards);
		load(CAPACITY_PER_SECOND / 2, WARMUP_SECONDS);
		progress.printf("guards %s: half of the capacity%n", guards);
		List<CompletedCall> before = load(CAPACITY_PER_SECOND / 2, BASELINE_SECONDS);
		progress.printf("guards %s: twice the capacity, then half%n", guards);
		ConcurrentLinkedQueue<CompletedCall> during = new ConcurrentLinkedQueue<>();
		ConcurrentLinkedQueue<CompletedCall> after = new ConcurrentLinkedQueue<>();
		List<Thread> threads = new ArrayList<>();
		send(2 * CAPACITY_PER_SECOND, OVERLOAD_SECONDS, during, threads);
		send(CAPACITY_PER_SECOND / 2, RECOVERY_SECONDS, after, threads);
		threads.forEach(OverloadMeasurement::join);
		long baselineMillis = percentile(before, true, 99);
		this.caller.close();
		return new Result(guards.toString(), Phase.of(before, BASELINE_SECONDS), Phase.of(during, OVERLOAD_SECONDS),
				Phase.of(after, RECOVERY_SECONDS), secondsUntil(after, baselineMillis * RECOVERY_FACTOR));
	}

	private List<CompletedCall> load(int perSecond, int seconds) {
		ConcurrentLinkedQueue<CompletedCall> completed = new ConcurrentLinkedQueue<>();
		List<Thread> threads = new ArrayList<>();
		send(perSecond, seconds, completed, threads);
		threads.forEach(OverloadMeasurement::join);
		return List.copyOf(completed);
	}

	/**
	 * Starts each call in its own thread at its scheduled time, without waiting for its
	 * end.
	 */
	private void send(int perSecond, int seconds, ConcurrentLinkedQueue<CompletedCall> completed,
			List<Thread> threads) {
		long interval = TimeUnit.SECONDS.toNanos(1) / perSecond;
		long startedAt = System.nanoTime();
		List<String> vms = this.cluster.vms();
		for (int index = 0; index < perSecond * seconds; index++) {
			long scheduled = startedAt + index * interval;
			Cluster.sleepUntil(scheduled);
			boolean payment = index % CALLS_PER_PAYMENT == 0;
			String id = SERVICE + "-" + this.number++;
			InetSocketAddress node = this.cluster.deployment()
				.member(vms.get(index % vms.size()))
				.settings()
				.callerAddress();
			int second = index / perSecond;
			threads.add(Thread.startVirtualThread(() -> {
				Optional<CallResponse> answer = payment ? sendPayment(node, id)
						: this.caller.call(node, CallSpec.of(SERVICE, "read", id));
				long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - scheduled);
				completed.add(new CompletedCall(payment,
						answer.filter((response) -> response.status() == OK).isPresent(), second, millis));
			}));
		}
	}

	private Optional<CallResponse> sendPayment(InetSocketAddress node, String id) {
		List<String> tickets = this.caller.tickets(node, SERVICE, "pay", 1);
		if (tickets.isEmpty()) {
			return Optional.empty();
		}
		return this.caller.call(node, new CallSpec(SERVICE, "pay", id, Optional.of(tickets.get(0)), 1,
				id.getBytes(StandardCharsets.UTF_8), false));
	}

	private static void join(Thread thread) {
		try {
			thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Returns the first second from which on every call succeeds with a 99th percentile
	 * within the bound.
	 */
	private static int secondsUntil(ConcurrentLinkedQueue<CompletedCall> completed, long boundMillis) {
		int recovered = 0;
		for (int second = 0; second < RECOVERY_SECONDS; second++) {
			int current = second;
			List<CompletedCall> window = completed.stream().filter((call) -> call.second() == current).toList();
			boolean slow = percentile(window, true, 99) > boundMillis
					|| window.stream().anyMatch((call) -> !call.answered());
			if (slow) {
				recovered = second + 1;
			}
		}
		return recovered;
	}

	/**
	 * Returns a percentile of the duration of calls, in milliseconds; 0 when there are
	 * none.
	 * @param answered true for the calls that succeeded, false for the others
	 */
	private static long percentile(Collection<CompletedCall> completed, boolean answered, int percent) {
		long[] sorted = completed.stream()
			.filter((call) -> call.answered() == answered)
			.mapToLong(CompletedCall::millis)
			.sorted()
			.toArray();
		return (sorted.length > 0) ? sorted[(sorted.length - 1) * percent / 100] : 0;
	}

	/**
	 * A call that ended.
	 *
	 * @param payment true for an at-most-once call
	 * @param answered whether the response had status 200
	 * @param second second of its phase in which it was scheduled, from 0
	 * @param millis time from its scheduled time, in milliseconds
	 */
	private record CompletedCall(boolean payment, boolean answered, int second, long millis) {

	}

	/**
	 * Result of one phase.
	 *
	 * @param sent number of calls
	 * @param paymentPercent share of at-most-once calls that succeeded, in percent
	 * @param lookupsPerSecond other calls that succeeded, per second
	 * @param p50 median latency of successful calls, in milliseconds
	 * @param p99 99th percentile of it, in milliseconds
	 * @param refusedP99 99th percentile of the duration of failed calls, in milliseconds
	 */
	public record Phase(int sent, double paymentPercent, double lookupsPerSecond, long p50, long p99, long refusedP99) {

		static Phase of(Collection<CompletedCall> calls, int seconds) {
			long payments = calls.stream().filter(CompletedCall::payment).count();
			long paid = calls.stream().filter((call) -> call.payment() && call.answered()).count();
			long lookups = calls.stream().filter((call) -> !call.payment() && call.answered()).count();
			return new Phase(calls.size(), 100.0 * paid / Math.max(1, payments), (double) lookups / seconds,
					percentile(calls, true, 50), percentile(calls, true, 99), percentile(calls, false, 99));
		}

		String cells() {
			return "%6d  %6.1f  %6.1f  %5d/%5d/%5d".formatted(this.sent, this.paymentPercent, this.lookupsPerSecond,
					this.p50, this.p99, this.refusedP99);
		}

	}

	/**
	 * The result of one measurement.
	 *
	 * @param guards the overload guards that were enabled
	 * @param before at half of the capacity
	 * @param during at twice the capacity
	 * @param after at half of the capacity again
	 * @param secondsUntilBack first second after the overload from which on every call
	 * succeeded, with a 99th percentile of at most twice the one before
	 */
	public record Result(String guards, Phase before, Phase during, Phase after, int secondsUntilBack) {

		/**
		 * Returns the header of the table.
		 * @return one line
		 */
		public static String heading() {
			return "guards  phase     sent  payments answered %  lookups answered/s  ms p50/p99 answered/p99 refused"
					+ "   back after s";
		}

		/**
		 * Formats the result as rows of the table.
		 * @return three lines
		 */
		public String rows() {
			return "%6s  before  %s%n%6s  during  %s%n%6s  after   %s   %d".formatted(this.guards, this.before.cells(),
					this.guards, this.during.cells(), this.guards, this.after.cells(), this.secondsUntilBack);
		}

	}

}
