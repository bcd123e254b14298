package org.eelgrasspitch.mesh;

/**
 * A target that could serve a request, with what the entry knows of it.
 *
 * @param id identifier of the target
 * @param near whether it is in the failure domain of the entry
 * @param load the last word of its home
 * @param sentSinceReport requests that this entry has sent there after that word
 * @param serviceMillis time that a request of this route takes there; 0 when not known
 * @param coldMillis how much longer the target is slow after its start
 * @param reportAgeMillis time since that word of its home
 */
public record Candidate(String id, boolean near, TargetLoad load, int sentSinceReport, double serviceMillis,
		long coldMillis, long reportAgeMillis) {

	/**
	 * Tells whether it takes requests.
	 * @return true when its home says so
	 */
	public boolean isUp() {
		return this.load.state() == TargetLoad.State.UP;
	}

}
