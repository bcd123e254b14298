package org.eelgrasspitch.testkit;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Reads values from a node's metrics endpoint, in the Prometheus text format.
 */
public final class MetricsReader {

	private MetricsReader() {
	}

	/**
	 * Adds up the samples of a metric whose line contains a text.
	 * @param caller the client
	 * @param operatorAddress the node's address for operators
	 * @param metric the metric's name
	 * @param labels text that the sample's line must contain, for example
	 * {@code purpose="fleet"}; may be empty
	 * @return the sum; 0 when there is no such sample or the node does not respond
	 */
	public static double sum(HttpCaller caller, InetSocketAddress operatorAddress, String metric, String labels) {
		Optional<HttpCaller.CallResponse> answer = caller.get(operatorAddress, "/metrics");
		if (answer.isEmpty()) {
			return 0;
		}
		return new String(answer.get().body(), StandardCharsets.UTF_8).lines()
			.filter((line) -> line.startsWith(metric + "{") || line.startsWith(metric + " "))
			.filter((line) -> line.contains(labels))
			.mapToDouble((line) -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
			.sum();
	}

}
