package org.eelgrasspitch.mesh;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns, by route, how often callers send further requests behind one that is in
 * progress, on the same connection, and how soon these want their answers.
 * <p>
 * Answers leave in the order of the requests, so a request whose own callers are patient
 * delays those behind it. It is therefore placed by the shorter objective of its usual
 * followers. Its own objective decides all the rest, such as its order in a queue.
 * <p>
 * Load pattern answered: callers send short lookups behind long reads. Placed by its own
 * objective of 2,500 ms, a read of 1,200 ms at a slow target of the own failure domain is
 * good enough, and every lookup behind it, with an objective of 600 ms, is late.
 */
public final class Followers {

	/** Weight of a new request; the last ten or so count. */
	private static final double WEIGHT = 0.1;

	/** Share of requests with followers from which the followers count. */
	private static final double FREQUENT = 0.2;

	/** Most routes remembered; further ones count as never followed. */
	private static final int MAX_ROUTES = 512;

	private final Map<String, Habit> habits = new HashMap<>();

	/**
	 * Notes a request that has ended without any request behind it.
	 * @param route name of its route
	 */
	public void endedAlone(String route) {
		Habit former = this.habits.get(route);
		if (former != null) {
			this.habits.put(route, new Habit((1 - WEIGHT) * former.share, former.objectiveMillis));
		}
	}

	/**
	 * Notes a request that has ended with others behind it.
	 * @param route name of its route
	 * @param objectiveMillis the shortest objective of those behind it
	 */
	public void endedFollowed(String route, long objectiveMillis) {
		Habit former = this.habits.get(route);
		if (former == null && this.habits.size() >= MAX_ROUTES) {
			return;
		}
		Habit known = (former != null) ? former : new Habit(0, objectiveMillis);
		this.habits.put(route, new Habit(known.share + WEIGHT * (1 - known.share),
				known.objectiveMillis + WEIGHT * (objectiveMillis - known.objectiveMillis)));
	}

	/**
	 * Returns the objective by which a request is placed.
	 * @param route name of its route
	 * @param ownMillis time left until its own answer is late
	 * @return that time, or the objective of its usual followers if that is shorter
	 */
	public long objectiveMillis(String route, long ownMillis) {
		Habit habit = this.habits.get(route);
		boolean frequent = habit != null && habit.share >= FREQUENT;
		return frequent ? Math.min(ownMillis, (long) habit.objectiveMillis) : ownMillis;
	}

	/**
	 * What callers of a route usually do.
	 *
	 * @param share smoothed share of requests that had others behind them, 0 to 1
	 * @param objectiveMillis smoothed shortest objective of those
	 */
	private record Habit(double share, double objectiveMillis) {

	}

}
