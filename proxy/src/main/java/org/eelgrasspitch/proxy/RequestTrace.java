package org.eelgrasspitch.proxy;

import java.util.ArrayList;
import java.util.List;

/**
 * The lines about one request at one hop. A request that is not in the sample may still
 * end badly, so its first decisions are held until that is known.
 */
final class RequestTrace {

	private final DecisionLog log;

	private final String requestId;

	private final List<BufferedLine> bufferedLines = new ArrayList<>();

	/** Whether every line is written at once. */
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
	 * Notes a decision that is worth a line only if the request is logged.
	 * @param event the event
	 * @param fields names and values in turn; values are turned to text when they are
	 * written
	 */
	void logIfKept(LogEvent event, Object... fields) {
		if (this.log.isSilent()) {
			return;
		}
		if (this.kept) {
			this.log.log(event, this.requestId, fields);
			return;
		}
		this.bufferedLines.add(new BufferedLine(this.log.wallMillis(), event, fields));
	}

	/**
	 * Writes a decision after all that was held, and all later ones.
	 * @param event the event
	 * @param fields names and values in turn
	 */
	void logAlways(LogEvent event, Object... fields) {
		this.kept = true;
		this.bufferedLines
			.forEach((line) -> this.log.log(line.atMillis(), line.event(), this.requestId, line.fields()));
		this.bufferedLines.clear();
		this.log.log(event, this.requestId, fields);
	}

	/**
	 * A line that is not written yet.
	 *
	 * @param atMillis when it was decided, in Unix milliseconds
	 * @param event the event
	 * @param fields names and values in turn
	 */
	private record BufferedLine(long atMillis, LogEvent event, Object[] fields) {

	}

}
