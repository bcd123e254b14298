package org.eelgrasspitch.fleet;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: the delay after {@code n} consecutive failures is
 * uniformly distributed between zero and {@code base * 2^(n-1)}, up to a cap. Full jitter
 * spreads the retries of many processes that failed at the same moment.
 *
 * @param baseMillis upper bound of the first delay, in milliseconds
 * @param capMillis upper bound of every delay, in milliseconds
 */
public record Backoff(long baseMillis, long capMillis) {

	/** Maximum number of doublings; keeps the shift from overflowing. */
	private static final int MAX_DOUBLINGS = 20;

	/**
	 * Draws a random delay.
	 * @param failures number of consecutive failures so far; values below 1 count as 1
	 * @param random source of randomness
	 * @return delay in milliseconds, from 0 to the bound inclusive
	 */
	public long delayMillis(int failures, RandomGenerator random) {
		int doublings = Math.min(Math.max(failures - 1, 0), MAX_DOUBLINGS);
		long bound = Math.min(this.capMillis, this.baseMillis << doublings);
		return random.nextLong(bound + 1);
	}

}
