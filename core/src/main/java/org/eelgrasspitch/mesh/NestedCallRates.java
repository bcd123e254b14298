package org.eelgrasspitch.mesh;

import java.util.HashMap;
import java.util.Map;

/**
 * Observes how many calls to each other service a target makes while it runs a request.
 * <p>
 * Load pattern: the targets of one service fail or shed requests, and each retried
 * request that runs makes its nested calls again. These count against the retry budget of
 * the called service, which the entry node of the retried request does not see. The home
 * of the target does: it refuses a retried request while its own part of the budget of a
 * called service does not cover the expected calls. No target has received the request by
 * then, so the refusal costs no budget itself.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class NestedCallRates {

	/** Number of runs after which all counts are halved, so that old runs fade. */
	private static final int MAX_RUNS = 256;

	private final Map<String, Double> callsByService = new HashMap<>();

	private double runs;

	/**
	 * Records that the target starts to run a request.
	 */
	public void recordRun() {
		this.runs++;
		if (this.runs > MAX_RUNS) {
			this.runs /= 2;
			this.callsByService.replaceAll((service, calls) -> calls / 2);
		}
	}

	/**
	 * Records a nested call of the target.
	 * @param service name of the called service
	 */
	public void recordCall(String service) {
		this.callsByService.merge(service, 1.0, Double::sum);
	}

	/**
	 * Returns whether one more retried request may run.
	 * @param budget this node's part of the retry budgets
	 * @param nodes number of nodes that share the budget
	 * @param now current monotonic time in milliseconds
	 * @return true if the budget of each called service covers the expected calls
	 */
	public boolean permitRetriedRun(FleetRetryBudget budget, int nodes, long now) {
		return this.runs == 0 || this.callsByService.entrySet()
			.stream()
			.allMatch((entry) -> budget.covers(entry.getKey(), nodes, entry.getValue() / this.runs, now));
	}

}
