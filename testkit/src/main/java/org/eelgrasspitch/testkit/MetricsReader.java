package org.eelgrasspitch.testkit;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Reads single values from a node's metrics.
 */
public final class MetricsReader {

	private MetricsReader() {
	}

	/**
	 * Adds up every sample of a metric whose labels contain a text.
	 * @param caller the client
	 * @param operatorAddress the node's operators' port
	 * @param metric the metric's name
	 * @param labels text that the sample's labels must contain; may be empty
	 * @return the sum; 0 when there is no such sample or the node does not answer
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
