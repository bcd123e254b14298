package org.eelgrasspitch.proxy;

import java.util.EnumMap;
import java.util.Map;

import org.eelgrasspitch.misc.TimeSource;
import org.jboss.logging.Logger;

/**
 * Writes one JSON line for each decision that touches a request or changes what this node
 * believes. The volume is bounded: each event has a number of lines a second, and lines
 * beyond it are counted in the next one. Successful requests are sampled by their
 * identifier, so every hop keeps the same ones.
 */
final class DecisionLog {

	private static final long MILLIS_PER_SECOND = 1_000;

	/** One request in this many is logged although it succeeded. */
	private static final int SAMPLE = 64;

	private final Logger logger = Logger.getLogger("eelgrasspitch");

	private final String vm;

	private final TimeSource time;

	private final Map<LogEvent, Rate> rates = new EnumMap<>(LogEvent.class);

	DecisionLog(String vm, TimeSource time) {
		this.vm = vm;
		this.time = time;
		for (LogEvent event : LogEvent.values()) {
			this.rates.put(event, new Rate());
		}
	}

	/**
	 * Tells whether a successful request is logged.
	 * @param requestId its identifier
	 * @return true when it belongs to the sample
	 */
	static boolean isSampled(String requestId) {
		return Math.floorMod(requestId.hashCode(), SAMPLE) == 0;
	}

	/**
	 * Writes a line.
	 * @param event the event
	 * @param fields names and values in turn
	 */
	void log(LogEvent event, Object... fields) {
		long now = this.time.monotonicMillis();
		long suppressed = this.rates.get(event).permit(now / MILLIS_PER_SECOND, event.linesPerSecond());
		if (suppressed < 0) {
			return;
		}
		StringBuilder line = new StringBuilder(192);
		line.append("{\"ts\":").append(this.time.wallMillis());
		append(line, "vm", this.vm);
		append(line, "event", event.word());
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
		for (int i = 0; i < text.length(); i++) {
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

	/**
	 * Counts the lines of one event in the present second.
	 */
	private static final class Rate {

		private long second;

		private int lines;

		private long suppressed;

		/**
		 * Permits a line or counts it as suppressed.
		 * @param now the present second
		 * @param most lines permitted in a second
		 * @return lines suppressed since the last permitted one, or -1 when not permitted
		 */
		synchronized long permit(long now, int most) {
			if (now != this.second) {
				this.second = now;
				this.lines = 0;
			}
			if (++this.lines > most) {
				this.suppressed++;
				return -1;
			}
			long count = this.suppressed;
			this.suppressed = 0;
			return count;
		}

	}

}
