package org.eelgrasspitch.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.eelgrasspitch.fleet.NoteKind;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.wire.Purpose;
import org.eelgrasspitch.wire.Traffic;

/**
 * The node's metrics. Label values come from enumerations and from the text, so their
 * number is bounded.
 */
public final class NodeMetrics implements Traffic {

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter bytes = Counter.builder()
		.name("eelgrasspitch_peer_bytes_total")
		.help("Bytes exchanged with other nodes, without TCP and IP headers")
		.labelNames("purpose", "direction")
		.register(this.registry);

	private final Counter notes = Counter.builder()
		.name("eelgrasspitch_events_total")
		.help("Events of the configuration fleet")
		.labelNames("event")
		.register(this.registry);

	private final Counter platformCalls = Counter.builder()
		.name("eelgrasspitch_platform_calls_total")
		.help("Calls to the platform, a waiting watch as one")
		.labelNames("channel")
		.register(this.registry);

	private final Counter platformBytes = Counter.builder()
		.name("eelgrasspitch_platform_bytes_total")
		.help("Bytes of documents read from the platform")
		.register(this.registry);

	private final Counter requests = Counter.builder()
		.name("eelgrasspitch_requests_total")
		.help("Requests of callers by outcome")
		.labelNames("service", "operation", "outcome")
		.register(this.registry);

	private final Counter retries = Counter.builder()
		.name("eelgrasspitch_retries_total")
		.help("Attempts after the first")
		.register(this.registry);

	private final Gauge revision = Gauge.builder()
		.name("eelgrasspitch_text_revision")
		.help("Revision of the text held")
		.register(this.registry);

	private final Gauge life = Gauge.builder()
		.name("eelgrasspitch_life_state")
		.help("State of the node: 0 starting, 1 confirming, 2 serving, 3 isolated, 4 leaving, 5 stopped")
		.register(this.registry);

	@Override
	public void sent(Purpose purpose, int length) {
		this.bytes.labelValues(word(purpose), "out").inc(length + (double) PREFIX_BYTES);
	}

	@Override
	public void received(Purpose purpose, int length) {
		this.bytes.labelValues(word(purpose), "in").inc(length + (double) PREFIX_BYTES);
	}

	void noted(NoteKind kind) {
		this.notes.labelValues(word(kind)).inc();
	}

	void platformCalled(Channel channel) {
		this.platformCalls.labelValues(word(channel)).inc();
	}

	void platformRead(int length) {
		this.platformBytes.inc(length);
	}

	void requestEnded(String service, String operation, CallOutcome outcome) {
		this.requests.labelValues(service, operation, Outcomes.word(outcome)).inc();
	}

	void retried() {
		this.retries.inc();
	}

	void textRevision(long held) {
		this.revision.set(held);
	}

	void lifeState(int state) {
		this.life.set(state);
	}

	/**
	 * Returns all metrics.
	 * @return the Prometheus text format
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

	private static String word(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT);
	}

}
