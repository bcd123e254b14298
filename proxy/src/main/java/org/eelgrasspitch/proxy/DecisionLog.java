package org.eelgrasspitch.proxy;

import java.util.EnumMap;
import java.util.Map;

import org.eelgrasspitch.misc.LogRateLimiter;
import org.eelgrasspitch.misc.TimeSource;
import org.jboss.logging.Logger;

/**
 * Writes one JSON line for each decision about a request and each change of the node's
 * state or routing state.
 * <p>
 * The lines are rate limited: each event about the node has a limit of its own, and all
 * lines about requests share one. The next line that is written gives the number of
 * suppressed ones. Successful requests are sampled so that the lines about requests
 * usually stay within the configured number per second; a burst of failures may write
 * {@link #FAILURE_BURST_FACTOR} times as many.
 */
final class DecisionLog {

	private static final long MILLIS_PER_SECOND = 1_000;

	/**
	 * Maximum rate of lines about requests, as a multiple of the configured rate. Does
	 * not apply to {@link LogDetail#FULL}, which has no limit.
	 */
	private static final int FAILURE_BURST_FACTOR = 10;

	/**
	 * Maximum length of a value in characters; a longer one is cut. Identifiers and
	 * addresses are shorter.
	 */
	private static final int MAX_VALUE_CHARACTERS = 1_024;

	private static final int TYPICAL_LINE_CHARACTERS = 192;

	private final Logger logger = Logger.getLogger("eelgrasspitch");

	private final String vm;

	private final TimeSource time;

	/** Limits the lines of each event about the node. */
	private final Map<LogEvent, LogRateLimiter> eventLimiters = new EnumMap<>(LogEvent.class);

	/** Limits all lines about requests together. */
	private final LogRateLimiter requestLimiter = new LogRateLimiter();

	private final RequestSampler sampler = new RequestSampler();

	private volatile LogDetail detail;

	private volatile int linesPerSecond;

	DecisionLog(String vm, TimeSource time, LogDetail detail, int linesPerSecond) {
		this.vm = vm;
		this.time = time;
		configure(detail, linesPerSecond);
		for (LogEvent event : LogEvent.values()) {
			this.eventLimiters.put(event, new LogRateLimiter());
		}
	}

	/**
	 * Sets how much is logged about requests.
	 * @param newDetail the level of detail
	 * @param newLinesPerSecond usual maximum of lines about requests per second
	 */
	void configure(LogDetail newDetail, int newLinesPerSecond) {
		this.detail = newDetail;
		this.linesPerSecond = newLinesPerSecond;
	}

	/**
	 * Returns whether a request is logged regardless of its outcome.
	 * @param requestId identifier of the request
	 * @return true if it is
	 */
	boolean isSampled(String requestId) {
		return switch (this.detail) {
			case OFF -> false;
			case DEFAULT -> this.sampler.isSampled(requestId);
			case FULL -> true;
		};
	}

	/**
	 * Returns whether logging of requests is off. Events about the node are still logged.
	 * @return true if it is
	 */
	boolean isRequestLoggingOff() {
		return this.detail == LogDetail.OFF;
	}

	int sampleLevel() {
		return this.sampler.level();
	}

	long wallMillis() {
		return this.time.wallMillis();
	}

	/**
	 * Writes a line about this node, unless the event exceeds its rate limit.
	 * @param event an event about the node; any other one has the limit 0 and is never
	 * written
	 * @param fields alternating names and values
	 */
	void logNodeEvent(LogEvent event, Object... fields) {
		long suppressed = this.eventLimiters.get(event).permit(currentSecond(), event.linesPerSecond());
		if (suppressed >= 0) {
			write(wallMillis(), event, suppressed, fields);
		}
	}

	/**
	 * Writes a line about a request with the current time.
	 * @param event the event
	 * @param requestId identifier of the request
	 * @param fields alternating names and values
	 */
	void logRequestEvent(LogEvent event, String requestId, Object[] fields) {
		logRequestEvent(wallMillis(), event, requestId, fields);
	}

	/**
	 * Writes a line about a request with the time of an earlier event, unless logging of
	 * requests is off or the rate limit is exceeded.
	 * @param atMillis time of the event, in Unix milliseconds
	 * @param event the event
	 * @param requestId identifier of the request
	 * @param fields alternating names and values
	 */
	void logRequestEvent(long atMillis, LogEvent event, String requestId, Object[] fields) {
		if (isRequestLoggingOff()) {
			return;
		}
		int usualLines = this.linesPerSecond;
		int maxLinesPerSecond = (this.detail == LogDetail.FULL) ? Integer.MAX_VALUE : usualLines * FAILURE_BURST_FACTOR;
		long suppressed = this.requestLimiter.permit(currentSecond(), maxLinesPerSecond);
		if (suppressed < 0) {
			return;
		}
		this.sampler.recordLine(currentSecond(), usualLines);
		Object[] all = new Object[fields.length + 2];
		all[0] = "request";
		all[1] = requestId;
		System.arraycopy(fields, 0, all, 2, fields.length);
		write(atMillis, event, suppressed, all);
	}

	private long currentSecond() {
		return this.time.monotonicMillis() / MILLIS_PER_SECOND;
	}

	private void write(long atMillis, LogEvent event, long suppressed, Object... fields) {
		StringBuilder line = new StringBuilder(TYPICAL_LINE_CHARACTERS);
		line.append("{\"ts\":").append(atMillis);
		append(line, "vm", this.vm);
		append(line, "event", event.loggedName());
		for (int i = 0; i + 1 < fields.length; i += 2) {
			append(line, String.valueOf(fields[i]), fields[i + 1]);
		}
		if (suppressed > 0) {
			append(line, "suppressed", suppressed);
		}
		this.logger.info(line.append('}').toString());
	}

	private static void append(StringBuilder line, String name, Object value) {
		line.append(",\"").append(name).append("\":");
		if (value instanceof Number || value instanceof Boolean) {
			line.append(value);
			return;
		}
		line.append('"');
		String text = String.valueOf(value);
		int length = Math.min(text.length(), MAX_VALUE_CHARACTERS);
		for (int i = 0; i < length; i++) {
			char character = text.charAt(i);
			if (character < ' ') {
				line.append(' ');
				continue;
			}
			if (character == '"' || character == '\\') {
				line.append('\\');
			}
			line.append(character);
		}
		line.append('"');
	}

}
