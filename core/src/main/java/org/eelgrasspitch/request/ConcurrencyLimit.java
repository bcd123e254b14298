package org.eelgrasspitch.request;

/**
 * Adaptive limit on the concurrent requests to one target, from 1 to its slots. It uses
 * additive increase and multiplicative decrease (AIMD): the limit shrinks by a tenth
 * whenever the target sheds a request, and grows by about one per {@code limit} responses
 * while it is fully used. It thereby adapts to the capacity that other clients of the
 * target leave.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class ConcurrencyLimit {

	private static final double DECREASE_FACTOR = 0.9;

	/** The current limit; 0 until the slots are known. */
	private double limit;

	/**
	 * Returns the current limit.
	 * @param slots the target's slots according to the configuration text
	 * @return maximum number of concurrent requests, from 1 to {@code slots}
	 */
	public int limit(int slots) {
		if (this.limit == 0 || this.limit > slots) {
			this.limit = slots;
		}
		return Math.max(1, (int) this.limit);
	}

	/**
	 * Decreases the limit because the target shed a request.
	 */
	public void onShed() {
		this.limit = Math.max(1, this.limit * DECREASE_FACTOR);
	}

	/**
	 * Increases the limit after a response if the limit was fully used.
	 * @param running number of requests that were running, including the answered one
	 */
	public void onAnswered(int running) {
		if (running >= (int) this.limit) {
			this.limit += 1 / Math.max(1, this.limit);
		}
	}

}
