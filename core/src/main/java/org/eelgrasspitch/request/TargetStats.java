package org.eelgrasspitch.request;

/**
 * Statistics that one node keeps about one target.
 */
final class TargetStats {

	private static final double LATENCY_SMOOTHING_FACTOR = 0.2;

	private static final int EJECTION_THRESHOLD_FAILURES = 3;

	private static final long FIRST_EJECTION_MILLIS = 2_000;

	private static final long MAX_EJECTION_MILLIS = 30_000;

	/** When the target was first listed, in monotonic milliseconds. */
	private final long firstSeenAt;

	/** Requests of this node that are in flight at the target. */
	private int inFlight;

	/**
	 * Exponentially weighted moving average of the response time, in milliseconds; 0
	 * before the first response.
	 */
	private double latencyMillis;

	/** Failures since the last response. */
	private int consecutiveFailures;

	/** Ejections because of failures since the last response. */
	private int consecutiveEjections;

	/**
	 * End of the current ejection, in monotonic milliseconds; in the past if there is
	 * none.
	 */
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

	void onSent() {
		this.inFlight++;
	}

	void onEnded() {
		this.inFlight--;
	}

	void onAnswered(long tookMillis) {
		this.consecutiveFailures = 0;
		this.consecutiveEjections = 0;
		this.latencyMillis = (this.latencyMillis == 0) ? tookMillis
				: this.latencyMillis + LATENCY_SMOOTHING_FACTOR * (tookMillis - this.latencyMillis);
	}

	void onFailed(long now) {
		this.consecutiveFailures++;
		if (this.consecutiveFailures >= EJECTION_THRESHOLD_FAILURES && !isEjected(now)) {
			eject(now, Math.min(MAX_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << Math.min(this.consecutiveEjections, 10)));
			this.consecutiveEjections++;
		}
	}

	void eject(long now, long millis) {
		this.ejectedUntil = Math.max(this.ejectedUntil, now + millis);
	}

	/**
	 * Computes the expected wait of one more request. A new target counts as slower until
	 * it has warmed up.
	 * @param coldStartMillis warm-up time of a new target, in milliseconds; 0 for none
	 * @param now current monotonic time in milliseconds
	 * @return requests in flight, including this one, times the average response time in
	 * milliseconds (at least 1), divided by a warm-up factor of 0.1 to 1
	 */
	double expectedWait(int coldStartMillis, long now) {
		double warmUpFactor = (coldStartMillis == 0) ? 1
				: Math.min(1, 0.1 + (double) (now - this.firstSeenAt) / coldStartMillis);
		return (this.inFlight + 1) * Math.max(this.latencyMillis, 1) / warmUpFactor;
	}

}
