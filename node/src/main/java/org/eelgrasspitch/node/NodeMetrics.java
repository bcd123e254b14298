package org.eelgrasspitch.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.eelgrasspitch.fleet.EventKind;
import org.eelgrasspitch.misc.EnumNames;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.RouteKey;
import org.eelgrasspitch.wire.Purpose;
import org.eelgrasspitch.wire.TrafficListener;

/**
 * Metrics of the node. Label values come from enumerations and from the configuration
 * text, so their number is bounded.
 */
public final class NodeMetrics implements TrafficListener {

	private final PrometheusRegistry registry = new PrometheusRegistry();

	/** Names of all registered metrics. */
	private final Set<String> names = new TreeSet<>();

	private final Counter peerBytes = counter("eelgrasspitch_peer_bytes_total",
			"Bytes exchanged with other nodes, without TCP and IP headers", "purpose", "direction");

	private final Counter fleetEvents = counter("eelgrasspitch_events_total", "Events of the configuration fleet",
			"event");

	private final Counter platformCalls = counter("eelgrasspitch_platform_calls_total",
			"Calls to the platform; a long poll counts as one call", "channel");

	private final Counter platformBytes = counter("eelgrasspitch_platform_bytes_total",
			"Bytes of documents read from the platform");

	/**
	 * Requests by outcome; those that {@link EntryService} rejects before an
	 * {@link EntryCall} starts are not counted.
	 */
	private final Counter requests = counter("eelgrasspitch_requests_total", "Requests of callers by outcome",
			"service", "operation", "outcome");

	private final Counter retries = counter("eelgrasspitch_retries_total", "Attempts after the first");

	private final Counter objectiveEvents = counter("eelgrasspitch_objective_events_total",
			"Requests of callers by result against the objective of their operation", "service", "operation", "result");

	private final Gauge textRevision = gauge("eelgrasspitch_text_revision", "Revision of the text held");

	private final Gauge lifecycleState = gauge("eelgrasspitch_life_state",
			"State of the node: 0 starting, 1 confirming, 2 serving, 3 isolated, 4 leaving, 5 stopped");

	/**
	 * Registers the gauges that read from the home service.
	 * @param home the home service
	 */
	void registerHomeGauges(HomeService home) {
		registerGauge("eelgrasspitch_running_requests", "Requests that run on the target", () -> home.running());
		registerGauge("eelgrasspitch_waiting_requests", "Requests that wait for the target", () -> home.waiting());
		registerGauge("eelgrasspitch_target_limit", "Requests that may run on the target at a time",
				() -> home.targetLimit());
		registerGauge("eelgrasspitch_records", "Records of at-most-once requests", () -> home.recordCount());
		registerGauge("eelgrasspitch_quarantined_requests",
				"Requests that are refused because targets died while they ran them", () -> home.quarantineCount());
	}

	/**
	 * Returns the names of all registered metrics.
	 * @return the names, in no particular order
	 */
	Set<String> names() {
		return Set.copyOf(this.names);
	}

	private Counter counter(String name, String help, String... labels) {
		this.names.add(name);
		return Counter.builder().name(name).help(help).labelNames(labels).register(this.registry);
	}

	private Gauge gauge(String name, String help) {
		this.names.add(name);
		return Gauge.builder().name(name).help(help).register(this.registry);
	}

	private void registerGauge(String name, String help, IntSupplier value) {
		this.names.add(name);
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsInt()))
			.register(this.registry);
	}

	@Override
	public void sent(Purpose purpose, int length) {
		this.peerBytes.labelValues(EnumNames.lowerCase(purpose), "out").inc(length + (double) LENGTH_PREFIX_BYTES);
	}

	@Override
	public void received(Purpose purpose, int length) {
		this.peerBytes.labelValues(EnumNames.lowerCase(purpose), "in").inc(length + (double) LENGTH_PREFIX_BYTES);
	}

	void countFleetEvent(EventKind kind) {
		this.fleetEvents.labelValues(EnumNames.lowerCase(kind)).inc();
	}

	void countPlatformCall(Channel channel) {
		this.platformCalls.labelValues(EnumNames.lowerCase(channel)).inc();
	}

	void countPlatformBytes(int length) {
		this.platformBytes.inc(length);
	}

	void countRequest(String service, String operation, CallOutcome outcome) {
		this.requests.labelValues(service, operation, OutcomeLabels.label(outcome)).inc();
	}

	void countObjectiveEvent(RouteKey route, boolean good) {
		this.objectiveEvents.labelValues(route.service(), route.operation(), good ? "good" : "bad").inc();
	}

	void countRetry() {
		this.retries.inc();
	}

	void setTextRevision(long held) {
		this.textRevision.set(held);
	}

	void setLifecycleState(int state) {
		this.lifecycleState.set(state);
	}

	/**
	 * Returns the current values of all metrics.
	 * @return the metrics in the Prometheus text format, encoded in UTF-8
	 */
	public byte[] exposition() {
		try {
			ByteArrayOutputStream output = new ByteArrayOutputStream();
			PrometheusTextFormatWriter.create().write(output, this.registry.scrape());
			return output.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
