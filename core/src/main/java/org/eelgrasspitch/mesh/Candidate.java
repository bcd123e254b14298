package org.eelgrasspitch.mesh;

/**
 * A target that could serve a request, with the state that the entry knows. The entry is
 * the node that accepted the request; the home is the node next to the target.
 *
 * @param id identifier of the target
 * @param near whether it is in the same failure domain as the entry
 * @param load load last reported by the target's home
 * @param sentSinceReport requests that this entry has sent to the target since that
 * report
 * @param serviceMillis smoothed service time of the route at the target, in milliseconds;
 * 0 when unknown
 * @param coldMillis remaining warm-up time of the target, in milliseconds; 0 when warm
 * @param reportAgeMillis age of the load report, in milliseconds
 */
public record Candidate(String id, boolean near, TargetLoad load, int sentSinceReport, double serviceMillis,
		long coldMillis, long reportAgeMillis) {

	/**
	 * Returns whether the target accepts requests.
	 * @return true if the last report of its home says so
	 */
	public boolean isUp() {
		return this.load.state() == TargetLoad.State.UP;
	}

}
