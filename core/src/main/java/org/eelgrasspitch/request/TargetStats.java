package org.eelgrasspitch.request;

/**
 * What one node has observed of one target.
 */
final class TargetStats {

	private static final double LATENCY_WEIGHT = 0.2;

	private static final int FAILURES_TO_EJECT = 3;

	private static final long FIRST_EJECTION_MILLIS = 2_000;

	private static final long LONGEST_EJECTION_MILLIS = 30_000;

	/** When the target was first listed, in monotonic milliseconds. */
	private final long firstSeenAt;

	/** Requests sent to it by this node and not yet ended. */
	private int inFlight;

	/** Smoothed time to an answer, in milliseconds; 0 before the first. */
	private double latencyMillis;

	/** Failures in a row. */
	private int failures;

	/** Ejections in a row. */
	private int ejections;

	/** End of the present ejection; in the past when there is none. */
	private long ejectedUntil = Long.MIN_VALUE;

	TargetStats(long firstSeenAt) {
		this.firstSeenAt = firstSeenAt;
	}

	int inFlight() {
		return this.inFlight;
	}

	boolean isEjected(long now) {
		return now < this.ejectedUntil;
	}

	void started() {
		this.inFlight++;
	}

	void ended() {
		this.inFlight--;
	}

	void answered(long tookMillis) {
		this.failures = 0;
		this.ejections = 0;
		this.latencyMillis = (this.latencyMillis == 0) ? tookMillis
				: this.latencyMillis + LATENCY_WEIGHT * (tookMillis - this.latencyMillis);
	}

	void failed(long now) {
		this.failures++;
		if (this.failures >= FAILURES_TO_EJECT && !isEjected(now)) {
			eject(now, Math.min(LONGEST_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << Math.min(this.ejections, 10)));
			this.ejections++;
		}
	}

	void eject(long now, long millis) {
		this.ejectedUntil = Math.max(this.ejectedUntil, now + millis);
	}

	/**
	 * Computes the expected wait of one more request.
	 * @param coldStartMillis time over which a new target warms up
	 * @param now current monotonic time in milliseconds
	 * @return a score that is lower for a better target
	 */
	double score(int coldStartMillis, long now) {
		double warmth = (coldStartMillis == 0) ? 1
				: Math.min(1, 0.1 + (double) (now - this.firstSeenAt) / coldStartMillis);
		return (this.inFlight + 1) * Math.max(this.latencyMillis, 1) / warmth;
	}

}
