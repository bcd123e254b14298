package org.eelgrasspitch.request;

/**
 * Bounds retries to a share of first attempts, so that retries cannot multiply load when
 * everything fails. Each first attempt earns {@link #RATIO} of a retry; unused retries
 * are kept up to {@link #MAX_SAVED}.
 */
public final class RetryBudget {

	/** Retries earned by one first attempt. */
	public static final double RATIO = 0.1;

	/** Most retries saved up. */
	public static final double MAX_SAVED = 10;

	/** Whether retries cost anything. */
	private final Guards guards;

	/** Retries available now; at least 0. */
	private double saved = MAX_SAVED;

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
	public synchronized void attempted() {
		this.saved = Math.min(MAX_SAVED, this.saved + RATIO);
	}

	/**
	 * Takes a retry if one is available.
	 * @return true when the retry may be made
	 */
	public synchronized boolean tryTake() {
		if (this.guards == Guards.NONE) {
			return true;
		}
		if (this.saved < 1) {
			return false;
		}
		this.saved -= 1;
		return true;
	}

}
