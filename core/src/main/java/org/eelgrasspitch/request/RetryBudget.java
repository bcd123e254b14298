package org.eelgrasspitch.request;

/**
 * Limits retries to a ratio of first attempts, so that retries cannot multiply the load
 * during an outage. Each first attempt adds {@link #RETRIES_PER_FIRST_ATTEMPT} of a retry
 * to the budget; unused retries accumulate up to {@link #MAX_SAVED_RETRIES}. A new budget
 * is full.
 * <p>
 * Thread-safe.
 */
public final class RetryBudget {

	/** Retries added to the budget by one first attempt. */
	public static final double RETRIES_PER_FIRST_ATTEMPT = 0.1;

	/** Maximum number of unused retries. */
	public static final double MAX_SAVED_RETRIES = 10;

	/** {@link Guards#NONE} disables the budget. */
	private final Guards guards;

	/** Available retries; at least 0. */
	private double availableRetries = MAX_SAVED_RETRIES;

	/**
	 * Creates a budget.
	 * @param guards whether the budget is enforced; {@link Guards#NONE} permits every
	 * retry
	 */
	public RetryBudget(Guards guards) {
		this.guards = guards;
	}

	/**
	 * Records a first attempt.
	 */
	public synchronized void recordRequest() {
		this.availableRetries = Math.min(MAX_SAVED_RETRIES, this.availableRetries + RETRIES_PER_FIRST_ATTEMPT);
	}

	/**
	 * Takes one retry from the budget if one is available.
	 * @return true if the retry may be made
	 */
	public synchronized boolean tryAcquire() {
		if (this.guards == Guards.NONE) {
			return true;
		}
		if (this.availableRetries < 1) {
			return false;
		}
		this.availableRetries -= 1;
		return true;
	}

}
