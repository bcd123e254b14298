package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.eelgrasspitch.misc.EnumNames;
import org.eelgrasspitch.proxy.generated.LinkMessage;

/**
 * The Prometheus metrics of a node. All label values come from enumerations, so that the
 * number of time series is small.
 */
final class ProxyMetrics {

	/**
	 * Upper bounds of the latency buckets, from the round-trip time of a link to the
	 * longest waits.
	 */
	private static final double[] LATENCY_BUCKETS_SECONDS = { 0.002, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10 };

	private static final double MILLIS_PER_SECOND = 1_000.0;

	private static final String PREFIX = "eelgrasspitch_proxy_";

	private final PrometheusRegistry registry = new PrometheusRegistry();

	/** Full names of all metrics. */
	private final Set<String> names = new TreeSet<>();

	private final Counter requests = counter("requests_total", "Requests of callers by what became of them", "outcome");

	private final Counter hedges = counter("hedges_total", "Slow requests sent to a second target as well");

	private final Counter retries = counter("retries_total", "Requests sent to another target, by cause", "cause");

	private final Counter calls = counter("calls_total", "Calls at this home by what became of them", "outcome");

	private final Counter startedCalls = counter("started_calls_total", "Calls that this home started at the target");

	private final Counter strayAnswers = counter("stray_answers_total",
			"Answers of the target of this VM that belong to no request in progress, by when they arrived", "when");

	private final Counter departures = counter("departures_total",
			"Callers and calls that were found gone only when a request was about to be sent on, by where", "where");

	private final Counter targetRequests = counter("target_requests_total",
			"Requests that the target of this VM made while it ran others");

	private final Counter linksLost = counter("links_lost_total", "Links to peers that were lost");

	private final DistributionDataPoint requestSeconds = histogram("request_seconds",
			"Time from a request's head to the end of its answer");

	private final DistributionDataPoint queueSeconds = histogram("queue_seconds",
			"Time that calls waited at this home");

	private final DistributionDataPoint hopSeconds = histogram("hop_seconds",
			"Time from sending a call to the head of its answer, without the target's time");

	private final Counter linkBytes = counter("link_bytes_total",
			"Bytes sent to peers, without TCP and IP headers, by kind of message and by where the peer is", "kind",
			"failure_domain");

	/** Counters of bytes to peers in the same failure domain, by kind of message. */
	private final Map<LinkMessage._Fields, CounterDataPoint> nearBytes = new EnumMap<>(LinkMessage._Fields.class);

	/** Counters of bytes to peers in other failure domains, by kind of message. */
	private final Map<LinkMessage._Fields, CounterDataPoint> farBytes = new EnumMap<>(LinkMessage._Fields.class);

	private final DistributionDataPoint loopDelaySeconds = histogram("loop_delay_seconds",
			"Delay of a periodic task on the event loop that handles requests");

	private final DistributionDataPoint targetSeconds = histogram("target_seconds",
			"Time from the start of a call at the target to its end");

	/**
	 * Registers a gauge whose value is read at each scrape.
	 * @param name the name without the common prefix
	 * @param help the help text
	 * @param value supplies the value
	 */
	void registerGauge(String name, String help, DoubleSupplier value) {
		this.names.add(PREFIX + name);
		GaugeWithCallback.builder()
			.name(PREFIX + name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(this.registry);
	}

	/**
	 * Returns the full names of all metrics.
	 * @return the names in no particular order
	 */
	Set<String> names() {
		return Set.copyOf(this.names);
	}

	void requestEnded(Outcome outcome, long millis) {
		this.requests.labelValues(EnumNames.lowerCase(outcome)).inc();
		this.requestSeconds.observe(millis / MILLIS_PER_SECOND);
	}

	void retried(FailureReason cause) {
		this.retries.labelValues(cause.loggedName()).inc();
	}

	void hedged() {
		this.hedges.inc();
	}

	void callStarted(long waitedMillis) {
		this.queueSeconds.observe(waitedMillis / MILLIS_PER_SECOND);
		this.startedCalls.inc();
	}

	void callEnded(Outcome outcome) {
		this.calls.labelValues(EnumNames.lowerCase(outcome)).inc();
	}

	void strayAnswer(boolean duringCall) {
		this.strayAnswers.labelValues(duringCall ? "call" : "idle").inc();
	}

	/**
	 * Counts a caller that had left, or a call that had been cancelled, when a request
	 * was about to be sent on by a node that is behind.
	 * @param atHome whether this node was about to send a call to its target; otherwise
	 * it was about to place the request of a caller of its own
	 */
	void departureFound(boolean atHome) {
		this.departures.labelValues(atHome ? "home" : "entry").inc();
	}

	void recordTargetTime(long millis) {
		this.targetSeconds.observe(millis / MILLIS_PER_SECOND);
	}

	void recordHopTime(long millis) {
		this.hopSeconds.observe(millis / MILLIS_PER_SECOND);
	}

	void recordLoopDelay(long millis) {
		this.loopDelaySeconds.observe(millis / MILLIS_PER_SECOND);
	}

	/**
	 * Counts the bytes of a message sent to a peer.
	 * @param kind the kind of message
	 * @param near whether the peer is in this node's failure domain
	 * @param bytes length of the frame in bytes, with its length prefix
	 */
	void sent(LinkMessage._Fields kind, boolean near, int bytes) {
		(near ? this.nearBytes : this.farBytes)
			.computeIfAbsent(kind,
					(first) -> this.linkBytes.labelValues(EnumNames.lowerCase(first), near ? "own" : "other"))
			.inc(bytes);
	}

	void nestedCallReceived() {
		this.targetRequests.inc();
	}

	void linkLost() {
		this.linksLost.inc();
	}

	/**
	 * Returns the current values of all metrics.
	 * @return the values in the Prometheus text format
	 */
	byte[] exposition() {
		try {
			ByteArrayOutputStream output = new ByteArrayOutputStream();
			PrometheusTextFormatWriter.create().write(output, this.registry.scrape());
			return output.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private Counter counter(String name, String help, String... labels) {
		this.names.add(PREFIX + name);
		return Counter.builder().name(PREFIX + name).help(help).labelNames(labels).register(this.registry);
	}

	private DistributionDataPoint histogram(String name, String help) {
		this.names.add(PREFIX + name);
		return Histogram.builder()
			.name(PREFIX + name)
			.help(help)
			.classicOnly()
			.classicUpperBounds(LATENCY_BUCKETS_SECONDS)
			.register(this.registry);
	}

	/**
	 * The outcome of a request or a call.
	 */
	enum Outcome {

		/** A target responded; for a call, without a server error. */
		ANSWERED,

		/** It was refused and has not run. */
		REFUSED,

		/** It failed; it may have run. */
		FAILED,

		/** The caller disconnected or the entry node cancelled the call. */
		CANCELLED

	}

}
