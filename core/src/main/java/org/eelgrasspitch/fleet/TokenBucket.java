package org.eelgrasspitch.fleet;

/**
 * Token bucket rate limiter. Tokens accrue continuously up to the burst size; each
 * permitted call takes one. It is not thread-safe.
 */
public final class TokenBucket {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final double burst;

	private double ratePerSecond;

	private double tokens;

	private long refilledAt;

	/**
	 * Creates a full bucket.
	 * @param ratePerSecond tokens that accrue per second
	 * @param burst maximum number of tokens held
	 * @param now current monotonic time in milliseconds
	 */
	public TokenBucket(double ratePerSecond, double burst, long now) {
		this.ratePerSecond = ratePerSecond;
		this.burst = burst;
		this.tokens = burst;
		this.refilledAt = now;
	}

	/**
	 * Sets the rate for the time after {@code now}; tokens accrued so far are kept.
	 * @param newRatePerSecond tokens that accrue per second
	 * @param now current monotonic time in milliseconds
	 */
	public void setRate(double newRatePerSecond, long now) {
		refill(now);
		this.ratePerSecond = newRatePerSecond;
	}

	/**
	 * Takes a token if one is available, without blocking.
	 * @param now current monotonic time in milliseconds
	 * @return true when the call is permitted
	 */
	public boolean tryAcquire(long now) {
		refill(now);
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

	private void refill(long now) {
		double accrued = (now - this.refilledAt) * this.ratePerSecond / MILLIS_PER_SECOND;
		this.tokens = Math.min(this.burst, this.tokens + Math.max(accrued, 0));
		this.refilledAt = now;
	}

}
