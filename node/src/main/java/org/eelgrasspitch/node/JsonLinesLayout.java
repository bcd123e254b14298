package org.eelgrasspitch.node;

import java.time.Instant;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.LayoutBase;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Formats a log event as one line of JSON with the members {@code time}, {@code level},
 * {@code event}, the fields of the event, {@code logger} if it is not the event log, and
 * {@code error} if an exception was logged. {@code time} is in ISO 8601 and UTC,
 * {@code event} is the log message, and {@code error} is the class and message of the
 * exception.
 */
public final class JsonLinesLayout extends LayoutBase<ILoggingEvent> {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	@Override
	public String doLayout(ILoggingEvent event) {
		ObjectNode line = MAPPER.createObjectNode();
		line.put("time", Instant.ofEpochMilli(event.getTimeStamp()).toString());
		line.put("level", event.getLevel().toString());
		line.put("event", event.getFormattedMessage());
		event.getMDCPropertyMap().forEach(line::put);
		if (!"eelgrasspitch".equals(event.getLoggerName())) {
			line.put("logger", event.getLoggerName());
		}
		if (event.getThrowableProxy() != null) {
			line.put("error", event.getThrowableProxy().getClassName() + ": " + event.getThrowableProxy().getMessage());
		}
		try {
			return MAPPER.writeValueAsString(line) + System.lineSeparator();
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("log event cannot be written as JSON", ex);
		}
	}

}
