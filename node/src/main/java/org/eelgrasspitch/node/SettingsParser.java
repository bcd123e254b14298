package org.eelgrasspitch.node;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.misc.DocumentReader;
import org.eelgrasspitch.misc.ErrorType;
import org.eelgrasspitch.misc.JsonObjectReader;
import org.eelgrasspitch.misc.LocatedNode.TextNode;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.request.Guards;

/**
 * Parses the settings of a node from JSON with comments and reports all problems at once.
 */
public final class SettingsParser {

	private static final int MAX_SETTINGS_BYTES = 65_536;

	private static final int MAX_SEEDS = 64;

	private static final int MAX_PLATFORM_CALLS_PER_SECOND = 2_000;

	private static final int DEFAULT_PLATFORM_CALLS_PER_SECOND = 200;

	private static final int MAX_RECORD_CAPACITY = 1_000_000;

	private static final int DEFAULT_RECORD_CAPACITY = 20_000;

	private static final int MAX_DRAIN_MILLIS = 600_000;

	private static final int DEFAULT_DRAIN_MILLIS = 30_000;

	private static final int MIN_PAUSE_MILLIS = 300;

	private static final int MAX_PAUSE_MILLIS = 60_000;

	private static final int DEFAULT_PAUSE_MILLIS = 1_000;

	private static final int MAX_START_MILLIS = 60_000;

	private static final int DEFAULT_START_MILLIS = 1_500;

	private SettingsParser() {
	}

	/**
	 * Parses a settings file.
	 * @param file the file
	 * @return the settings, or all problems found; an unreadable file is one problem
	 */
	public static Either<List<Problem>, NodeSettings> read(Path file) {
		return DocumentReader.readFile(file, SettingsParser::parse);
	}

	/**
	 * Parses settings.
	 * @param content the settings, JSON with comments in UTF-8
	 * @return the settings, or all problems found
	 */
	public static Either<List<Problem>, NodeSettings> parse(byte[] content) {
		return DocumentReader.readObject("the settings", content, MAX_SETTINGS_BYTES, SettingsParser::settings);
	}

	private static NodeSettings settings(JsonObjectReader fields) {
		String vm = fields.name("vm");
		String failureDomain = fields.name("failureDomain");
		String service = fields.name("service");
		InetSocketAddress peer = fields.address("peerAddress");
		InetSocketAddress advertised = fields.has("advertisedAddress") ? fields.address("advertisedAddress") : peer;
		NodeSettings settings = new NodeSettings(vm, failureDomain, service, peer, advertised,
				fields.address("callerAddress"), fields.address("operatorAddress"), fields.address("targetAddress"),
				url(fields), seeds(fields),
				fields.oneOf("distribution", List.of(Distribution.values()), Distribution.DELTAS),
				fields.integer("platformCallsPerSecond", 1, MAX_PLATFORM_CALLS_PER_SECOND,
						DEFAULT_PLATFORM_CALLS_PER_SECOND),
				fields.integer("recordCapacity", 1, MAX_RECORD_CAPACITY, DEFAULT_RECORD_CAPACITY),
				fields.integer("drainMillis", 0, MAX_DRAIN_MILLIS, DEFAULT_DRAIN_MILLIS),
				fields.integer("pauseMillis", MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS, DEFAULT_PAUSE_MILLIS),
				fields.integer("startMillis", 0, MAX_START_MILLIS, DEFAULT_START_MILLIS),
				fields.oneOf("guards", List.of(Guards.values()), Guards.ALL));
		fields.rejectUnknownKeys();
		return settings;
	}

	private static String url(JsonObjectReader fields) {
		String url = fields.text("platformUrl");
		if (fields.has("platformUrl") && !isHttpUrl(url)) {
			fields.report(ErrorType.BAD_URL, fields.position("platformUrl"), url);
		}
		return url;
	}

	private static boolean isHttpUrl(String url) {
		try {
			URI uri = URI.create(url);
			return "http".equals(uri.getScheme()) && uri.getHost() != null;
		}
		catch (IllegalArgumentException ex) {
			return false;
		}
	}

	private static List<InetSocketAddress> seeds(JsonObjectReader fields) {
		List<InetSocketAddress> seeds = new ArrayList<>();
		for (TextNode node : fields.texts("seeds", MAX_SEEDS)) {
			Optional<InetSocketAddress> address = Addresses.parse(node.value());
			if (address.isEmpty()) {
				fields.report(ErrorType.BAD_ADDRESS, node.position(), node.value());
			}
			address.ifPresent(seeds::add);
		}
		return List.copyOf(seeds);
	}

}
