package org.eelgrasspitch.node;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.eelgrasspitch.misc.LogRateLimiter;
import org.eelgrasspitch.misc.TimeSource;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Writes events as log lines with a stable event name and named fields. Each event name
 * is limited to {@link #MAX_LINES_PER_SECOND} lines per second; the next line of that
 * name carries the number of suppressed lines in the field {@code suppressed}.
 */
public final class EventLog {

	/** Maximum number of lines per second with the same event name. */
	public static final int MAX_LINES_PER_SECOND = 20;

	private static final long MILLIS_PER_SECOND = 1_000;

	private final Logger logger = Logger.getLogger("eelgrasspitch");

	private final TimeSource time;

	private final Map<String, LogRateLimiter> rateLimiters = new ConcurrentHashMap<>();

	/**
	 * Creates a log.
	 * @param time time source for the rate limit
	 */
	public EventLog(TimeSource time) {
		this.time = time;
	}

	/**
	 * Logs an event that operators may want to know, at level {@code INFO}.
	 * @param event stable name in lower case with underscores
	 * @param fields details of the event; may be empty
	 */
	public void info(String event, Field... fields) {
		log(Logger.Level.INFO, event, fields);
	}

	/**
	 * Logs an event that operators should look at, at level {@code WARN}.
	 * @param event stable name in lower case with underscores
	 * @param fields details of the event; may be empty
	 */
	public void warn(String event, Field... fields) {
		log(Logger.Level.WARN, event, fields);
	}

	private void log(Logger.Level level, String event, Field... fields) {
		LogRateLimiter rateLimiter = this.rateLimiters.computeIfAbsent(event, (name) -> new LogRateLimiter());
		long suppressed = rateLimiter.permit(this.time.monotonicMillis() / MILLIS_PER_SECOND, MAX_LINES_PER_SECOND);
		if (suppressed < 0) {
			return;
		}
		for (Field field : fields) {
			MDC.put(field.name(), field.value());
		}
		if (suppressed > 0) {
			MDC.put("suppressed", Long.toString(suppressed));
		}
		this.logger.log(level, event);
		MDC.clear();
	}

	/**
	 * A named value in a log line.
	 *
	 * @param name name of the field
	 * @param value value of the field as text
	 */
	public record Field(String name, String value) {

		/**
		 * Creates a field.
		 * @param name name of the field
		 * @param value converted with {@link String#valueOf(Object)}; may be null
		 * @return the field
		 */
		public static Field of(String name, Object value) {
			return new Field(name, String.valueOf(value));
		}

	}

}
