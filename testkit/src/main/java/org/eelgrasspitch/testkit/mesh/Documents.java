package org.eelgrasspitch.testkit.mesh;

import java.net.InetSocketAddress;

/**
 * Writes the documents of the platform's store.
 */
public final class Documents {

	private Documents() {
	}

	/**
	 * Writes a configuration with one host.
	 * @param version its number
	 * @param rules the rules, separated by commas
	 * @param services names of the services
	 * @return the document
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
	 * Writes a rule.
	 * @param prefix its path prefix
	 * @param type whether requests may be repeated, in the platform's word
	 * @param priority its rank
	 * @param action where requests go: the members of the action
	 * @return the rule
	 */
	public static String rule(String prefix, String type, int priority, String action) {
		return "{\"name\":\"rule" + prefix.replace('/', '-') + "\",\"type\":\"" + type
				+ "\",\"target_latency_s\":0.6,\"priority\":" + priority + ",\"match\":{\"path_prefix\":\"" + prefix
				+ "\"},\"action\":{" + action + ",\"timeout_s\":2,\"max_attempts\":2}}";
	}

	/**
	 * Writes a server's entry.
	 * @param service its service
	 * @param address where it listens
	 * @param zone its failure domain
	 * @param state its state
	 * @param sequence number of the entry
	 * @return the entry
	 */
	public static String entry(String service, InetSocketAddress address, String zone, String state, int sequence) {
		return "{\"service\":\"" + service + "\",\"address\":\"" + address.getAddress().getHostAddress() + ":"
				+ address.getPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":2,\"state\":\"" + state
				+ "\",\"cold_remaining_s\":0,\"sequence\":" + sequence + ",\"born\":1700000000000}";
	}

}
