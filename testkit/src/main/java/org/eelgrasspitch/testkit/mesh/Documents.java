package org.eelgrasspitch.testkit.mesh;

import java.net.InetSocketAddress;

/**
 * Builds JSON documents as the platform's key-value store holds them. Arguments are
 * inserted as they are, without escaping.
 */
public final class Documents {

	private Documents() {
	}

	/**
	 * Builds a configuration with one listener, for the host {@code m.example}.
	 * @param version number of the configuration, written with the prefix {@code r}
	 * @param rules rules as JSON objects, separated by commas; may be empty
	 * @param services names of the services; each becomes a cluster
	 * @return the document as JSON
	 */
	public static String config(long version, String rules, String... services) {
		StringBuilder clusters = new StringBuilder();
		for (String service : services) {
			clusters.append(clusters.isEmpty() ? "" : ",")
				.append("{\"name\":\"")
				.append(service)
				.append("\",\"health_check_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}");
		}
		return "{\"version\":\"r" + version + "\",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
				+ "\"header_timeout_s\":1,\"idle_timeout_s\":15},\"listeners\":[{\"host\":\"m.example\",\"rules\":["
				+ rules + "]}],\"clusters\":[" + clusters + "]}";
	}

	/**
	 * Builds a routing rule.
	 * @param prefix its path prefix
	 * @param type whether requests may be retried: {@code idempotent} or
	 * {@code non_idempotent}
	 * @param priority its priority
	 * @param action members of the action, as JSON without braces; they select where
	 * requests go
	 * @return the rule as a JSON object
	 */
	public static String rule(String prefix, String type, int priority, String action) {
		return rule(prefix, type, priority, action, 2);
	}

	/**
	 * Builds a routing rule with a timeout.
	 * @param prefix its path prefix
	 * @param type whether requests may be retried: {@code idempotent} or
	 * {@code non_idempotent}
	 * @param priority its priority
	 * @param action members of the action, as JSON without braces; they select where
	 * requests go
	 * @param timeoutSeconds its timeout, in seconds
	 * @return the rule as a JSON object
	 */
	public static String rule(String prefix, String type, int priority, String action, double timeoutSeconds) {
		return "{\"name\":\"rule" + prefix.replace('/', '-') + "\",\"type\":\"" + type
				+ "\",\"target_latency_s\":0.6,\"priority\":" + priority + ",\"match\":{\"path_prefix\":\"" + prefix
				+ "\"},\"action\":{" + action + ",\"timeout_s\":" + timeoutSeconds + ",\"max_attempts\":2}}";
	}

	/**
	 * Builds the registry entry of a server.
	 * @param service its service
	 * @param address address it listens on
	 * @param zone its failure domain
	 * @param state its state, as the platform spells it
	 * @param sequence sequence number of the entry
	 * @param slots maximum number of requests that it runs concurrently
	 * @return the entry as a JSON object
	 */
	public static String entry(String service, InetSocketAddress address, String zone, String state, int sequence,
			int slots) {
		return "{\"service\":\"" + service + "\",\"address\":\"" + address.getAddress().getHostAddress() + ":"
				+ address.getPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
				+ ",\"state\":\"" + state + "\",\"cold_remaining_s\":0,\"sequence\":" + sequence
				+ ",\"born\":1700000000000}";
	}

}
