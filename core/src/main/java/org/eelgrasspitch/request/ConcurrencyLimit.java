package org.eelgrasspitch.request;

/**
 * Limits the requests sent to one target at a time, at most to its slots. The limit
 * shrinks by a tenth whenever the target sheds a request, and grows by one for each full
 * round of answers while it is used up (additive increase, multiplicative decrease). So
 * it finds the share of the slots that other users of the target leave.
 */
public final class ConcurrencyLimit {

	private static final double DECREASE_FACTOR = 0.9;

	/** The present limit; 0 until the slots are known. */
	private double limit;

	/**
	 * Returns the present limit.
	 * @param slots the target's slots according to the text
	 * @return requests that may run at a time, from 1 to {@code slots}
	 */
	public int limit(int slots) {
		if (this.limit == 0 || this.limit > slots) {
			this.limit = slots;
		}
		return Math.max(1, (int) this.limit);
	}

	/**
	 * Notes that the target shed a request.
	 */
	public void onShed() {
		this.limit = Math.max(1, this.limit * DECREASE_FACTOR);
	}

	/**
	 * Notes that the target answered.
	 * @param running requests that were running, this one included
	 */
	public void onAnswered(int running) {
		if (running >= (int) this.limit) {
			this.limit += 1 / Math.max(1, this.limit);
		}
	}

}
