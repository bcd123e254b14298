package org.eelgrasspitch.proxy;

import java.util.EnumMap;
import java.util.Map;

import org.eelgrasspitch.misc.LogRateLimiter;
import org.eelgrasspitch.misc.TimeSource;
import org.jboss.logging.Logger;

/**
 * Writes one JSON line for each decision that touches a request or changes what this node
 * believes. The volume is bounded: an event about the node has a number of lines a
 * second, and all lines about requests have one together; lines left out are counted in
 * the next one. Requests that went well are sampled so that the lines about requests
 * usually stay within a bound; those that did not may take {@link #FAILURE_BURST_FACTOR}
 * times as many.
 */
final class DecisionLog {

	private static final long MILLIS_PER_SECOND = 1_000;

	/** Lines about requests that did not go well, as a multiple of the usual bound. */
	private static final int FAILURE_BURST_FACTOR = 10;

	/** Most characters of one value; identifiers and addresses are shorter. */
	private static final int MAX_VALUE_CHARACTERS = 1_024;

	private static final int TYPICAL_LINE_CHARACTERS = 192;

	private final Logger logger = Logger.getLogger("eelgrasspitch");

	private final String vm;

	private final TimeSource time;

	private final Map<LogEvent, LogRateLimiter> eventLimiters = new EnumMap<>(LogEvent.class);

	/** Bounds all lines about requests together. */
	private final LogRateLimiter requestLimiter = new LogRateLimiter();

	private final SampleRate sampleRate = new SampleRate();

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
	 * Changes how much is logged about requests.
	 * @param newDetail how much
	 * @param newLinesPerSecond lines about requests in a second, usually at most
	 */
	void configure(LogDetail newDetail, int newLinesPerSecond) {
		this.detail = newDetail;
		this.linesPerSecond = newLinesPerSecond;
	}

	/**
	 * Tells whether a request is logged whatever becomes of it.
	 * @param requestId its identifier
	 * @return true when it is
	 */
	boolean isSampled(String requestId) {
		return switch (this.detail) {
			case OFF -> false;
			case DEFAULT -> this.sampleRate.isSampled(requestId);
			case FULL -> true;
		};
	}

	/**
	 * Tells whether nothing is logged about requests.
	 * @return true when nothing is
	 */
	boolean isSilent() {
		return this.detail == LogDetail.OFF;
	}

	int sampleLevel() {
		return this.sampleRate.level();
	}

	long wallMillis() {
		return this.time.wallMillis();
	}

	/**
	 * Writes a line about this node.
	 * @param event the event
	 * @param fields names and values in turn
	 */
	void log(LogEvent event, Object... fields) {
		long suppressed = this.eventLimiters.get(event).permit(currentSecond(), event.linesPerSecond());
		if (suppressed >= 0) {
			write(wallMillis(), event, suppressed, fields);
		}
	}

	/**
	 * Writes a line about a request.
	 * @param event the event
	 * @param requestId the request's identifier
	 * @param fields names and values in turn
	 */
	void log(LogEvent event, String requestId, Object[] fields) {
		log(wallMillis(), event, requestId, fields);
	}

	/**
	 * Writes a line about a request that was decided on before.
	 * @param atMillis when it was, in Unix milliseconds
	 * @param event the event
	 * @param requestId the request's identifier
	 * @param fields names and values in turn
	 */
	void log(long atMillis, LogEvent event, String requestId, Object[] fields) {
		if (isSilent()) {
			return;
		}
		int bound = this.linesPerSecond;
		int maxLinesPerSecond = (this.detail == LogDetail.FULL) ? Integer.MAX_VALUE : bound * FAILURE_BURST_FACTOR;
		long suppressed = this.requestLimiter.permit(currentSecond(), maxLinesPerSecond);
		if (suppressed < 0) {
			return;
		}
		this.sampleRate.recordLine(currentSecond(), bound);
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
