package org.eelgrasspitch.testkit;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.eelgrasspitch.misc.Addresses;

/**
 * Measures the latency that the two nodes on the path, the caller's and the target's, add
 * to a call. Calls alternate within one run between the path through both nodes and a
 * direct call to the target, so that both run under the same conditions. The load is
 * open-loop: each call has a scheduled time, and its latency counts from then, whether or
 * not earlier calls have ended.
 */
public final class RequestMeasurement {

	private static final long START_TIMEOUT_MILLIS = 60_000;

	private static final long MAX_RECORDED_MICROS = 60_000_000;

	/**
	 * Index of the node that callers use. It prefers the target in its own failure
	 * domain.
	 */
	private static final int ENTRY_INDEX = 1;

	/** Index of the node of that target, which direct calls go to. */
	private static final int HOME_INDEX = 3;

	private static final RequestBody BODY = RequestBody.create(new byte[200]);

	private final Cluster cluster;

	private final Plan plan;

	private final OkHttpClient client;

	private final Histogram direct = new ConcurrentHistogram(MAX_RECORDED_MICROS, 3);

	private final Histogram routed = new ConcurrentHistogram(MAX_RECORDED_MICROS, 3);

	private final AtomicInteger failures = new AtomicInteger();

	private RequestMeasurement(Plan plan, Cluster cluster) {
		this.plan = plan;
		this.cluster = cluster;
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(Integer.MAX_VALUE);
		dispatcher.setMaxRequestsPerHost(Integer.MAX_VALUE);
		this.client = new OkHttpClient.Builder().dispatcher(dispatcher)
			.callTimeout(Duration.ofSeconds(10))
			.connectionPool(new ConnectionPool(1_000, 1, TimeUnit.MINUTES))
			.build();
	}

	/**
	 * Runs one measurement.
	 * @param plan the parameters
	 * @param directory an empty directory for files and logs
	 * @param progress receives progress lines
	 * @return the result
	 */
	public static Result run(Plan plan, Path directory, PrintStream progress) {
		DeploymentWriter writer = new DeploymentWriter(plan.octet(), List.of("fd-1", "fd-2"), List.of("front", "back"),
				4, false, "");
		Deployment deployment = writer.write(directory.resolve("deployment"), writer.text(1_000, 0, 0));
		try (Cluster cluster = new Cluster(deployment, directory)) {
			cluster.startServing(0, START_TIMEOUT_MILLIS);
			return new RequestMeasurement(plan, cluster).run(progress);
		}
	}

	private Result run(PrintStream progress) {
		progress.printf("%d calls/s: warming up for %d s%n", this.plan.callsPerSecond(), this.plan.warmSeconds());
		load(this.plan.warmSeconds());
		this.direct.reset();
		this.routed.reset();
		this.failures.set(0);
		progress.printf("%d calls/s: measuring for %d s%n", this.plan.callsPerSecond(), this.plan.seconds());
		long entryCpu = cpuMillis(ENTRY_INDEX);
		long homeCpu = cpuMillis(HOME_INDEX);
		int calls = load(this.plan.seconds());
		double entryMicros = (cpuMillis(ENTRY_INDEX) - entryCpu) * 1_000.0 / calls;
		double homeMicros = (cpuMillis(HOME_INDEX) - homeCpu) * 1_000.0 / calls;
		this.client.dispatcher().executorService().shutdown();
		return new Result(this.plan, calls, this.failures.get(), Micros.of(this.direct), Micros.of(this.routed),
				entryMicros, homeMicros);
	}

	/**
	 * Sends calls alternately on both paths and waits up to a minute for their end.
	 * @param seconds duration, in seconds
	 * @return number of calls sent on each path
	 */
	private int load(int seconds) {
		int calls = this.plan.callsPerSecond() * seconds;
		long interval = TimeUnit.SECONDS.toNanos(1) / this.plan.callsPerSecond();
		Request directRequest = request(member(HOME_INDEX).settings().targetAddress(), "/read");
		Request routedRequest = request(member(ENTRY_INDEX).settings().callerAddress(), "/back/read");
		CountDownLatch pending = new CountDownLatch(2 * calls);
		long startedAt = System.nanoTime();
		for (int index = 0; index < calls; index++) {
			long scheduled = startedAt + index * interval;
			Cluster.sleepUntil(scheduled);
			send(routedRequest, scheduled, this.routed, pending);
			long directScheduled = scheduled + interval / 2;
			Cluster.sleepUntil(directScheduled);
			send(directRequest, directScheduled, this.direct, pending);
		}
		try {
			pending.await(1, TimeUnit.MINUTES);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return calls;
	}

	private void send(Request request, long scheduled, Histogram histogram, CountDownLatch pending) {
		this.client.newCall(request).enqueue(new Callback() {
			@Override
			public void onFailure(Call call, IOException cause) {
				RequestMeasurement.this.failures.incrementAndGet();
				pending.countDown();
			}

			@Override
			public void onResponse(Call call, Response response) throws IOException {
				try (response) {
					response.body().bytes();
					long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - scheduled);
					histogram.recordValue(Math.min(micros, MAX_RECORDED_MICROS));
					if (response.code() != 200) {
						RequestMeasurement.this.failures.incrementAndGet();
					}
				}
				finally {
					pending.countDown();
				}
			}
		});
	}

	private static Request request(InetSocketAddress server, String path) {
		return new Request.Builder().url("http://" + Addresses.format(server) + path).post(BODY).build();
	}

	private Deployment.Member member(int index) {
		return this.cluster.deployment().members().get(index);
	}

	private long cpuMillis(int index) {
		return ProcessUsage.cpuMillis(this.cluster.node(member(index).settings().vm()).pid());
	}

	/**
	 * Parameters of a measurement.
	 *
	 * @param callsPerSecond calls per second on each of the two paths
	 * @param warmSeconds duration of the warm-up, in seconds
	 * @param seconds duration of the measurement, in seconds
	 * @param octet second octet of all addresses
	 */
	public record Plan(int callsPerSecond, int warmSeconds, int seconds, int octet) {

	}

	/**
	 * Latencies in microseconds.
	 *
	 * @param p50 median
	 * @param p99 99th percentile
	 * @param p999 99.9th percentile
	 */
	public record Micros(long p50, long p99, long p999) {

		static Micros of(Histogram histogram) {
			return new Micros(histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(99),
					histogram.getValueAtPercentile(99.9));
		}

	}

	/**
	 * The result of one measurement.
	 *
	 * @param plan the parameters
	 * @param calls calls on each path
	 * @param failures calls without a response of status 200, on both paths
	 * @param direct latency of direct calls to the target
	 * @param routed latency through two nodes
	 * @param entryCpuMicros processor time of the entry node per call, in microseconds
	 * @param homeCpuMicros processor time of the home node per call, in microseconds
	 */
	public record Result(Plan plan, int calls, int failures, Micros direct, Micros routed, double entryCpuMicros,
			double homeCpuMicros) {

		/**
		 * Returns the header of the table.
		 * @return one line
		 */
		public static String heading() {
			return "calls/s   calls  failed  direct us p50/p99/p99.9    routed us p50/p99/p99.9     added us p50/p99/p99.9"
					+ "   CPU us entry/home";
		}

		/**
		 * Formats the result as a row of the table.
		 * @return one line
		 */
		public String row() {
			return "%7d  %6d  %6d  %7d/%7d/%7d  %7d/%7d/%7d  %7d/%7d/%7d  %7.0f/%6.0f".formatted(
					this.plan.callsPerSecond, this.calls, this.failures, this.direct.p50, this.direct.p99,
					this.direct.p999, this.routed.p50, this.routed.p99, this.routed.p999,
					this.routed.p50 - this.direct.p50, this.routed.p99 - this.direct.p99,
					this.routed.p999 - this.direct.p999, this.entryCpuMicros, this.homeCpuMicros);
		}

	}

}
