package org.eelgrasspitch.request;

/**
 * Bounds retries to a share of first attempts, so that retries cannot multiply load when
 * everything fails. Each first attempt earns {@link #RETRIES_PER_FIRST_ATTEMPT} of a
 * retry; unused retries are kept up to {@link #MAX_SAVED_RETRIES}.
 */
public final class RetryBudget {

	/** Retries earned by one first attempt. */
	public static final double RETRIES_PER_FIRST_ATTEMPT = 0.1;

	/** Most retries saved up. */
	public static final double MAX_SAVED_RETRIES = 10;

	/** Whether retries cost anything. */
	private final Guards guards;

	/** Retries available now; at least 0. */
	private double savedRetries = MAX_SAVED_RETRIES;

	/**
	 * Creates a budget.
	 * @param guards whether retries cost anything
	 */
	public RetryBudget(Guards guards) {
		this.guards = guards;
	}

	/**
	 * Notes a first attempt.
	 */
	public synchronized void recordFirstAttempt() {
		this.savedRetries = Math.min(MAX_SAVED_RETRIES, this.savedRetries + RETRIES_PER_FIRST_ATTEMPT);
	}

	/**
	 * Takes a retry if one is available.
	 * @return true when the retry may be made
	 */
	public synchronized boolean tryTake() {
		if (this.guards == Guards.NONE) {
			return true;
		}
		if (this.savedRetries < 1) {
			return false;
		}
		this.savedRetries -= 1;
		return true;
	}

}
