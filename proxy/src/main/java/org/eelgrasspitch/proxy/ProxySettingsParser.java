package org.eelgrasspitch.proxy;

import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.eelgrasspitch.misc.DocumentReader;
import org.eelgrasspitch.misc.JsonObjectReader;
import org.eelgrasspitch.misc.Problem;

/**
 * Parses the settings of the streaming proxy from JSON with comments and reports all
 * problems together. Unknown keys are ignored, since a newer deployment may write keys
 * that this release does not know.
 */
public final class ProxySettingsParser {

	private static final int MAX_SETTINGS_BYTES = 65_536;

	private static final double MILLIS_PER_SECOND = 1_000;

	/** Maximum duration in settings. */
	private static final double MAX_SECONDS = 3_600;

	private static final double MAX_LINK_MEGABITS = 1_000_000;

	private static final double MAX_RETRIES = 1_000_000;

	private static final int MAX_LOG_LINES_PER_SECOND = 10_000;

	private ProxySettingsParser() {
	}

	/**
	 * Reads and parses a settings file.
	 * @param file the file
	 * @return the settings, or every problem found; a file that cannot be read is one
	 */
	public static Either<List<Problem>, ProxySettings> read(Path file) {
		return DocumentReader.readFile(file, ProxySettingsParser::parse);
	}

	/**
	 * Parses settings.
	 * @param content settings as JSON with comments, in UTF-8
	 * @return the settings, or every problem found
	 */
	public static Either<List<Problem>, ProxySettings> parse(byte[] content) {
		return DocumentReader.readObject("the settings", content, MAX_SETTINGS_BYTES, ProxySettingsParser::settings);
	}

	private static ProxySettings settings(JsonObjectReader fields) {
		return new ProxySettings(fields.text("vm"), fields.text("failureDomain"), fields.text("service"),
				fields.address("entryAddress"), fields.address("readinessAddress"), fields.address("linkAddress"),
				fields.address("metricsAddress"), fields.address("targetAddress"), fields.address("sourceAddress"),
				fields.has("linkMegabits") ? (int) Math.round(fields.number("linkMegabits", 0, MAX_LINK_MEGABITS)) : 0,
				secondsAsMillis(fields, "stopSeconds"), fields.number("retryRatio", 0, 1),
				fields.number("retryMinimum", 0, MAX_RETRIES), secondsAsMillis(fields, "retryWindowSeconds"),
				secondsAsMillis(fields, "drainSeconds", ProxySettings.DEFAULT_DRAIN_MILLIS),
				secondsAsMillis(fields, "settleSeconds", ProxySettings.DEFAULT_SETTLE_MILLIS),
				fields.oneOf("logDetail", List.of(LogDetail.values()), LogDetail.DEFAULT), fields.integer(
						"logLinesPerSecond", 1, MAX_LOG_LINES_PER_SECOND, ProxySettings.DEFAULT_LOG_LINES_PER_SECOND));
	}

	private static long secondsAsMillis(JsonObjectReader fields, String key, long defaultMillis) {
		return fields.has(key) ? secondsAsMillis(fields, key) : defaultMillis;
	}

	private static long secondsAsMillis(JsonObjectReader fields, String key) {
		return Math.round(fields.number(key, 0, MAX_SECONDS) * MILLIS_PER_SECOND);
	}

}
