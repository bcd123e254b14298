package org.eelgrasspitch.mesh;

/**
 * Decides when a request that takes unusually long is sent to a second target as well,
 * whichever answers first being passed on. Only idempotent requests are hedged.
 * <p>
 * Load pattern answered: a few requests in a hundred take several times as long as the
 * others, because their target is slow, has lost the answer or has met a pause, while
 * other targets have room. Without a second send, the caller waits for the slow one, and
 * so does everything that the caller has sent behind it on the same connection.
 * <p>
 * A second send is made only to a target with free slots, so under overload, when second
 * sends would add to the load, there are none. They take the smallest part of the budget
 * of repeats ({@link FleetRetryBudget.Purpose#HEDGE}).
 * <p>
 * Worked case: lookups take 220 ms. One that has no answer after 440 ms goes to a second
 * target as well and is answered after 660 ms instead of 1,760 ms.
 */
public final class Hedging {

	/**
	 * Multiple of the expected time after which a request is slow: with the usual spread
	 * of service times, two or three requests in a hundred take longer.
	 */
	private static final double DELAY_FACTOR = 2;

	/**
	 * Part of the objective after which a request is slow if the time of its route is not
	 * known.
	 */
	private static final double UNKNOWN_TIME_OBJECTIVE_SHARE = 0.75;

	/** Shortest wait before a second send, in milliseconds: far above a hop's time. */
	private static final long MIN_DELAY_MILLIS = 40;

	/** Share of its slots up to which a target has room for second sends. */
	private static final double MAX_USED_SLOT_SHARE = 0.75;

	private Hedging() {
	}

	/**
	 * Returns how long to wait for an answer before the request is sent to a second
	 * target.
	 * @param first the target that has the request, as it was when it was chosen
	 * @param objectiveMillis the route's objective
	 * @return the time from sending in milliseconds
	 */
	public static long delayMillis(Candidate first, long objectiveMillis) {
		double delay = (first.serviceMillis() > 0) ? DELAY_FACTOR * Placement.expectedMillis(first)
				: UNKNOWN_TIME_OBJECTIVE_SHARE * objectiveMillis;
		return Math.max(MIN_DELAY_MILLIS, (long) delay);
	}

	/**
	 * Tells whether a target has room for a second send.
	 * @param candidate the target
	 * @return true when nothing waits there and enough of its slots are free
	 */
	public static boolean hasCapacity(Candidate candidate) {
		TargetLoad load = candidate.load();
		int running = load.running() + candidate.sentSinceReport();
		return candidate.isUp() && load.waiting() == 0 && running + 1 <= MAX_USED_SLOT_SHARE * load.slots();
	}

}
