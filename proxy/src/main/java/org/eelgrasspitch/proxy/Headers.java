package org.eelgrasspitch.proxy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Selects the header fields that are forwarded with a message.
 */
final class Headers {

	/**
	 * Hop-by-hop fields, fields that frame a body, and Expect, which the entry node
	 * handles itself; in lower case.
	 */
	private static final Set<String> NOT_FORWARDED = Set.of("connection", "keep-alive", "proxy-connection", "te",
			"trailer", "transfer-encoding", "upgrade", "content-length", "expect", "proxy-authenticate",
			"proxy-authorization");

	private Headers() {
	}

	/**
	 * Returns the fields to forward: all but hop-by-hop fields, fields that frame a body,
	 * Expect, fields named by Connection, and the excluded ones.
	 * @param headers all fields
	 * @param excluded names of further fields that are not forwarded, in lower case
	 * @return alternating names and values
	 */
	static List<String> forwarded(HttpHeaders headers, Set<String> excluded) {
		Set<String> connectionOptions = connectionOptions(headers);
		List<String> result = new ArrayList<>(headers.size() * 2);
		for (Map.Entry<String, String> field : headers) {
			String name = field.getKey().toLowerCase(Locale.ROOT);
			if (!NOT_FORWARDED.contains(name) && !excluded.contains(name) && !connectionOptions.contains(name)) {
				result.add(field.getKey());
				result.add(field.getValue());
			}
		}
		return result;
	}

	/**
	 * Adds fields to a message.
	 * @param fields alternating names and values
	 * @param headers fields of the message
	 */
	static void add(List<String> fields, HttpHeaders headers) {
		for (int i = 0; i + 1 < fields.size(); i += 2) {
			headers.add(fields.get(i), fields.get(i + 1));
		}
	}

	/**
	 * Finds a field.
	 * @param fields alternating names and values
	 * @param name name of the field, in any case
	 * @return the first value; empty if the field is missing
	 */
	static Optional<String> find(List<String> fields, String name) {
		for (int i = 0; i + 1 < fields.size(); i += 2) {
			if (fields.get(i).equalsIgnoreCase(name)) {
				return Optional.of(fields.get(i + 1));
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns how the body of a message is framed.
	 * @param message the message
	 * @param defaultValue result if neither a length nor chunked encoding is announced
	 * @return the length in bytes, {@link CallHead#CHUNKED} or {@code defaultValue}
	 */
	static long bodyLength(HttpMessage message, long defaultValue) {
		if (HttpUtil.isTransferEncodingChunked(message)) {
			return CallHead.CHUNKED;
		}
		return HttpUtil.getContentLength(message, defaultValue);
	}

	private static Set<String> connectionOptions(HttpHeaders headers) {
		Set<String> connectionOptions = new HashSet<>();
		for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : value.split(",")) {
				connectionOptions.add(name.trim().toLowerCase(Locale.ROOT));
			}
		}
		return connectionOptions;
	}

}
