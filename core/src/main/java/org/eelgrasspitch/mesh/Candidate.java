package org.eelgrasspitch.mesh;

/**
 * A target that could serve a request, with the state that the entry node knows. The
 * entry node is the one that accepted the request; the home is the node on the target's
 * VM.
 *
 * @param id identifier of the target
 * @param near whether it is in the same failure domain as the entry node
 * @param load load last reported by the target's home; {@link TargetLoad#UNKNOWN} before
 * the first report
 * @param sentSinceReport requests that this entry node has sent to the target since that
 * report
 * @param serviceMillis smoothed service time of the route at the target, in milliseconds;
 * 0 when unknown
 * @param coldMillis remaining warm-up time as of the target's last published entry, in
 * milliseconds; 0 when warm
 * @param reportAgeMillis time since the last message of any kind from the target's home
 * or since the link to it opened, in milliseconds; 0 for the entry node's own target;
 * used only in the log
 */
public record Candidate(String id, boolean near, TargetLoad load, int sentSinceReport, double serviceMillis,
		long coldMillis, long reportAgeMillis) {

	/**
	 * Returns whether the target accepts requests.
	 * @return true if the last report of its home says so, or if there is no report yet
	 */
	public boolean isUp() {
		return this.load.state() == TargetLoad.State.UP;
	}

}
