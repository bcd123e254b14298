package org.eelgrasspitch.mesh;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Paces the starts of requests at a target that has named a limit.
 * <p>
 * Load pattern: a target in need names a fraction of the rate that it has been getting
 * from many nodes, while their callers go on as before. The home of the target is the
 * only sender, so it enforces the limit for all nodes together; shares of the limit for
 * each node would depend on how many nodes there are and which of them know.
 * <p>
 * Starts use up permits, which accrue at the limit and are kept for
 * {@link #BURST_MILLIS}. The rate before the limit was named is not forgotten: until the
 * limit must be kept, the rate is lowered as far as needed for the {@link #SPAN_MILLIS}
 * up to that time to come out at {@link #SETTLED_RATIO} of the limit. Some requests still
 * start, because only answers show whether the limit has changed.
 * <p>
 * Example: a target gets 100 requests per second and names a limit of 40. A plain token
 * bucket would allow 100 + 3 x 40 = 220 requests in the 4 s around the naming. The pacer
 * allows 200: 100 before the naming, then 33 per second for 3 s. After that it allows 40
 * per second.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class StartPacer {

	/** Settle time where the deployment states none, in milliseconds. */
	public static final long DEFAULT_SETTLE_MILLIS = 3_000;

	/** Span in which the platform counts requests, in milliseconds. */
	private static final long SPAN_MILLIS = 4_000;

	/**
	 * Starts in a span for each start that the limit allows in it, as tolerated by the
	 * platform.
	 */
	private static final double TOLERATED_RATIO = 1.5;

	/**
	 * The same for the span around the naming. It is lower, because requests start before
	 * the first answer with the limit arrives.
	 */
	private static final double SETTLED_RATIO = 1.25;

	/** Minimum share of the limit at which requests start while it settles. */
	private static final double MIN_SETTLING_SHARE = 0.1;

	/** Minimum time left to settle when a limit is learned late, in milliseconds. */
	private static final long MIN_SETTLING_MILLIS = 1_000;

	/** Rate at which requests start at a target that takes none, per second. */
	private static final double MIN_PER_SECOND = 0.5;

	/** Time for which unused permits are kept, in milliseconds. */
	private static final long BURST_MILLIS = 250;

	private static final double MILLIS_PER_SECOND = 1_000;

	/** Time after a limit is named from which it must be kept, in milliseconds. */
	private final long settleMillis;

	/**
	 * Time before a limit is named whose starts are made up for, in milliseconds; what
	 * the settle time leaves of the span.
	 */
	private final long priorMillis;

	/** Monotonic times of the starts in the last {@link #SPAN_MILLIS}. */
	private final Deque<Long> recentStarts = new ArrayDeque<>();

	/** Limit in starts per second; infinite if there is none. */
	private double limitPerSecond = TargetStatements.NO_LIMIT;

	/**
	 * Monotonic time from which the settling of the limit counts, in milliseconds: when
	 * it was named or last lowered, as far as known.
	 */
	private long limitedSinceMillis;

	/** Starts since {@link #priorMillis} before {@link #limitedSinceMillis}. */
	private int settlingStarts;

	/** Permits as of {@link #permitsAtMillis}; meaningless without a limit. */
	private double permits;

	private long permitsAtMillis;

	/**
	 * Creates a pacer without a limit.
	 * @param settleMillis time after a limit is named from which it must be kept, in
	 * milliseconds
	 */
	public StartPacer(long settleMillis) {
		this.settleMillis = settleMillis;
		this.priorMillis = Math.max(0, SPAN_MILLIS - settleMillis);
	}

	/**
	 * Sets the limit.
	 * @param perSecond starts per second; {@link TargetStatements#NO_LIMIT} for none
	 * @param namedAfterMillis earliest time at which the target can have named it, in
	 * monotonic milliseconds; ignored without a limit
	 * @param now current monotonic time in milliseconds
	 */
	public void setLimit(double perSecond, long namedAfterMillis, long now) {
		double former = this.limitPerSecond;
		accrue(now);
		this.limitPerSecond = Math.max(MIN_PER_SECOND, perSecond);
		if (!isLimited() || this.limitPerSecond >= former) {
			return;
		}
		if (former == TargetStatements.NO_LIMIT || now >= this.limitedSinceMillis + this.settleMillis) {
			this.limitedSinceMillis = Math.max(namedAfterMillis, now - this.settleMillis + MIN_SETTLING_MILLIS);
			this.settlingStarts = startsSince(this.limitedSinceMillis - this.priorMillis);
		}
		double unused = this.limitPerSecond * this.priorMillis / MILLIS_PER_SECOND
				- startsSince(now - this.priorMillis);
		this.permits = Math.clamp(unused, 0, maxPermits());
		this.permitsAtMillis = now;
	}

	/**
	 * Returns whether there is a limit.
	 * @return false if any number of requests may start
	 */
	public boolean isLimited() {
		return this.limitPerSecond < TargetStatements.NO_LIMIT;
	}

	/**
	 * Returns how many requests may start now.
	 * @param now current monotonic time in milliseconds
	 * @return the number; {@link Integer#MAX_VALUE} without a limit
	 */
	public int permits(long now) {
		accrue(now);
		return isLimited() ? (int) this.permits : Integer.MAX_VALUE;
	}

	/**
	 * Records that requests have started.
	 * @param count number of requests
	 * @param now current monotonic time in milliseconds
	 */
	public void recordStarts(int count, long now) {
		accrue(now);
		for (int i = 0; i < count; i++) {
			this.recentStarts.add(now);
		}
		this.settlingStarts += count;
		this.permits -= count;
	}

	/**
	 * Estimates when another request may start.
	 * @param ahead number of requests that start before it
	 * @param now current monotonic time in milliseconds
	 * @return time until its start, in milliseconds; 0 without a limit
	 */
	public double delayMillis(int ahead, long now) {
		if (!isLimited()) {
			return 0;
		}
		accrue(now);
		double missing = Math.max(0, ahead + 1 - this.permits);
		double settlingMillis = Math.max(0, this.limitedSinceMillis + this.settleMillis - now);
		double whileSettling = settlingMillis * ratePerSecond(now) / MILLIS_PER_SECOND;
		if (missing <= whileSettling) {
			return missing * MILLIS_PER_SECOND / ratePerSecond(now);
		}
		return settlingMillis + (missing - whileSettling) * MILLIS_PER_SECOND / this.limitPerSecond;
	}

	/**
	 * Returns the time between two starts at the present rate.
	 * @param now current monotonic time in milliseconds
	 * @return the time in milliseconds; 0 without a limit
	 */
	public double intervalMillis(long now) {
		return isLimited() ? MILLIS_PER_SECOND / ratePerSecond(now) : 0;
	}

	private void accrue(long now) {
		forgetBefore(now - SPAN_MILLIS);
		if (isLimited()) {
			double accrued = ratePerSecond(this.permitsAtMillis) * (now - this.permitsAtMillis) / MILLIS_PER_SECOND;
			this.permits = Math.min(maxPermits(), this.permits + accrued);
		}
		this.permitsAtMillis = now;
	}

	private double ratePerSecond(long now) {
		double minimum = MIN_SETTLING_SHARE * this.limitPerSecond;
		double allowed = this.limitPerSecond * SPAN_MILLIS / MILLIS_PER_SECOND;
		double settlingMillis = this.limitedSinceMillis + this.settleMillis - now;
		if (settlingMillis <= 0) {
			// A burst just before the naming may still lie within the span.
			return (this.recentStarts.size() < TOLERATED_RATIO * allowed + 1) ? this.limitPerSecond : minimum;
		}
		double rate = (SETTLED_RATIO * allowed - this.settlingStarts) * MILLIS_PER_SECOND / settlingMillis;
		return Math.clamp(rate, minimum, this.limitPerSecond);
	}

	private double maxPermits() {
		return Math.max(1, this.limitPerSecond * BURST_MILLIS / MILLIS_PER_SECOND);
	}

	private int startsSince(long time) {
		return (int) this.recentStarts.stream().filter((start) -> start > time).count();
	}

	private void forgetBefore(long time) {
		while (!this.recentStarts.isEmpty() && this.recentStarts.peek() <= time) {
			this.recentStarts.poll();
		}
	}

}
