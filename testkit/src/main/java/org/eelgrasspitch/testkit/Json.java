package org.eelgrasspitch.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/**
 * Converts records to and from JSON. Unknown members are ignored when reading.
 */
public final class Json {

	private static final ObjectMapper MAPPER = new ObjectMapper().registerModule(new Jdk8Module())
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

	private Json() {
	}

	/**
	 * Serializes a value.
	 * @param value a record or a list of records
	 * @return the value as one line of JSON
	 * @throws UncheckedIOException if the value cannot be serialized
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Parses a value.
	 * @param <T> type of the value
	 * @param content the value as JSON in UTF-8
	 * @param type class of the value
	 * @return the value
	 * @throws UncheckedIOException if the content is not valid JSON or does not fit the
	 * type
	 */
	public static <T> T read(byte[] content, Class<T> type) {
		try {
			return MAPPER.readValue(content, type);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
