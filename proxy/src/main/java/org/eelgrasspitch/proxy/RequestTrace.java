package org.eelgrasspitch.proxy;

import java.util.ArrayList;
import java.util.List;

/**
 * The log lines about one request at its entry node or its home. A request that is not
 * sampled may still fail, so its lines are buffered until that is known.
 */
final class RequestTrace {

	private final DecisionLog log;

	private final String requestId;

	/** Lines of a request that is not sampled, oldest first; empty once it is kept. */
	private final List<BufferedLine> bufferedLines = new ArrayList<>();

	/** Whether lines are written immediately instead of buffered. */
	private boolean kept;

	RequestTrace(DecisionLog log, String requestId, boolean kept) {
		this.log = log;
		this.requestId = requestId;
		this.kept = kept;
	}

	boolean isKept() {
		return this.kept;
	}

	/**
	 * Writes a line if the request is kept, and buffers it otherwise. Does nothing if
	 * logging of requests is off.
	 * @param event the event
	 * @param fields alternating names and values; values are formatted when the line is
	 * written
	 */
	void logIfKept(LogEvent event, Object... fields) {
		if (this.log.isRequestLoggingOff()) {
			return;
		}
		if (this.kept) {
			this.log.logRequestEvent(event, this.requestId, fields);
			return;
		}
		this.bufferedLines.add(new BufferedLine(this.log.wallMillis(), event, fields));
	}

	/**
	 * Keeps the request from now on and writes all buffered lines and then this one,
	 * unless logging of requests is off or the rate limit of the log is exceeded.
	 * @param event the event
	 * @param fields alternating names and values
	 */
	void logAlways(LogEvent event, Object... fields) {
		this.kept = true;
		this.bufferedLines
			.forEach((line) -> this.log.logRequestEvent(line.atMillis(), line.event(), this.requestId, line.fields()));
		this.bufferedLines.clear();
		this.log.logRequestEvent(event, this.requestId, fields);
	}

	/**
	 * A line that is not written yet.
	 *
	 * @param atMillis time of the event, in Unix milliseconds
	 * @param event the event
	 * @param fields alternating names and values
	 */
	private record BufferedLine(long atMillis, LogEvent event, Object[] fields) {

	}

}
