package org.eelgrasspitch.proxy;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Reads the {@code Keep-Alive} header field, as in {@code timeout=5, max=100}.
 */
final class KeepAliveHeader {

	private static final String TIMEOUT = "timeout=";

	private KeepAliveHeader() {
	}

	/**
	 * Returns the idle timeout that a field announces.
	 * @param value value of the field; null if there is none
	 * @param defaultSeconds result for a malformed timeout, in seconds
	 * @return the timeout in milliseconds; empty if none is announced
	 */
	static OptionalLong idleTimeoutMillis(String value, long defaultSeconds) {
		if (value == null) {
			return OptionalLong.empty();
		}
		OptionalLong millis = OptionalLong.empty();
		for (String part : value.split(",")) {
			String trimmed = part.trim();
			if (trimmed.startsWith(TIMEOUT)) {
				long seconds = parseSeconds(trimmed.substring(TIMEOUT.length()), defaultSeconds);
				millis = OptionalLong.of(TimeUnit.SECONDS.toMillis(seconds));
			}
		}
		return millis;
	}

	private static long parseSeconds(String text, long defaultSeconds) {
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			// An invalid timeout is replaced by the default.
			return defaultSeconds;
		}
	}

}
