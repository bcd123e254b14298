package org.eelgrasspitch.mesh;

/**
 * Decides when a slow request is hedged, that is, sent to a second target as well; the
 * first answer is used. Only idempotent requests are hedged.
 * <p>
 * A few requests in a hundred take several times as long as the others because their
 * target is slow, has lost the answer or is paused, while other targets have free slots.
 * Without hedging, the caller waits for the slow target, and so do all requests pipelined
 * behind it on the same connection.
 * <p>
 * A hedge is sent only to a target with free slots, so there are none under overload,
 * where they would add to the load. A hedge is allowed only if all retries together,
 * including it, stay within a quarter of the retry budget
 * ({@link FleetRetryBudget.Purpose#HEDGE}).
 * <p>
 * Example: lookups take 220 ms. A lookup without an answer after 440 ms is sent to a
 * second target as well and answered after 660 ms instead of 1,760 ms.
 */
public final class Hedging {

	/**
	 * Multiple of the expected time after which a request is hedged. With the usual
	 * spread of service times, two or three requests in a hundred take longer.
	 */
	private static final double DELAY_FACTOR = 2;

	/**
	 * Share of the objective after which a request is hedged if the service time of its
	 * route is unknown.
	 */
	private static final double UNKNOWN_TIME_OBJECTIVE_SHARE = 0.75;

	/**
	 * Minimum delay before a hedge, in milliseconds; far above the time of a network hop.
	 */
	private static final long MIN_DELAY_MILLIS = 40;

	/** Maximum share of a target's slots in use, including the hedge. */
	private static final double MAX_USED_SLOT_SHARE = 0.75;

	private Hedging() {
	}

	/**
	 * Returns the delay after which a request without an answer is hedged.
	 * @param first the target that the request was sent to, in its state at the time of
	 * the choice
	 * @param objectiveMillis the route's objective in milliseconds
	 * @return the delay from the first send, in milliseconds
	 */
	public static long delayMillis(Candidate first, long objectiveMillis) {
		double delay = (first.serviceMillis() > 0) ? DELAY_FACTOR * Placement.expectedMillis(first)
				: UNKNOWN_TIME_OBJECTIVE_SHARE * objectiveMillis;
		return Math.max(MIN_DELAY_MILLIS, (long) delay);
	}

	/**
	 * Returns whether a target has free capacity for a hedge.
	 * @param candidate the target
	 * @return true if it accepts requests and has named no limit, none waits there and
	 * enough of its slots are free
	 */
	public static boolean hasCapacity(Candidate candidate) {
		TargetLoad load = candidate.load();
		int running = load.running() + candidate.sentSinceReport();
		return candidate.isUp() && !load.isLimited() && load.waiting() == 0
				&& running + 1 <= MAX_USED_SLOT_SHARE * load.slots();
	}

}
