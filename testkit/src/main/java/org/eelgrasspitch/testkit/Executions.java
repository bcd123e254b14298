package org.eelgrasspitch.testkit;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts, over all targets, how often each request started.
 */
public final class Executions {

	private Executions() {
	}

	/**
	 * Sums the records of all targets that respond.
	 * @param cluster the cluster
	 * @return number of starts by request identifier
	 */
	public static Map<String, Integer> read(Cluster cluster) {
		Map<String, Integer> total = new TreeMap<>();
		for (Deployment.Member member : cluster.deployment().members()) {
			cluster.control().get(member.settings().targetAddress(), "/-/executions").ifPresent((answer) -> {
				for (TargetStandIn.Execution execution : Json.read(answer.body(), TargetStandIn.Execution[].class)) {
					total.merge(execution.requestId(), execution.count(), Integer::sum);
				}
			});
		}
		return total;
	}

}
