package org.eelgrasspitch.mesh;

import java.util.HashMap;
import java.util.Map;

/**
 * Smoothed service times of one target, by route and over all routes. A time that has not
 * been observed for {@link #STALE_MILLIS} is forgotten, so that a target that was slow
 * for a while is judged anew.
 */
public final class ServiceTimes {

	/** Weight of a new observation; the last ten or so count. */
	private static final double SMOOTHING_FACTOR = 0.15;

	/**
	 * Time assumed of a route that was not observed lately, in milliseconds. It is short,
	 * because a request that is refused for its expected time would never correct it.
	 */
	private static final double UNKNOWN_MILLIS = 50;

	/** Most routes remembered; beyond them the overall time is used. */
	private static final int MAX_ROUTES = 512;

	/** Time after which an observation says nothing of the present, in milliseconds. */
	private static final long STALE_MILLIS = 8_000;

	private final Map<String, Observation> byRoute = new HashMap<>();

	/** Over all routes; 0 before the first observation. */
	private double overallMillis;

	/**
	 * Notes how long a request took.
	 * @param route name of its route
	 * @param millis time at the target in milliseconds
	 * @param now current monotonic time in milliseconds
	 */
	public void observe(String route, double millis, long now) {
		this.overallMillis = smoothed(this.overallMillis, millis);
		if (this.byRoute.size() >= MAX_ROUTES && !this.byRoute.containsKey(route)) {
			this.byRoute.values().removeIf((observation) -> observation.isStale(now));
		}
		if (this.byRoute.size() < MAX_ROUTES || this.byRoute.containsKey(route)) {
			this.byRoute.put(route, new Observation(smoothed(recentMillis(route, now), millis), now));
		}
	}

	/**
	 * Returns the recent time of a route.
	 * @param route its name
	 * @param now current monotonic time in milliseconds
	 * @return the time in milliseconds; 0 when there is no recent one
	 */
	public double recentMillis(String route, long now) {
		Observation observation = this.byRoute.get(route);
		return (observation == null || observation.isStale(now)) ? 0 : observation.millis();
	}

	/**
	 * Returns the expected time of a request.
	 * @param route name of its route
	 * @param now current monotonic time in milliseconds
	 * @return the time in milliseconds
	 */
	public double expectedMillis(String route, long now) {
		double recent = recentMillis(route, now);
		return (recent > 0) ? recent : UNKNOWN_MILLIS;
	}

	/**
	 * Returns the time over all routes.
	 * @return the time in milliseconds; 0 before the first observation
	 */
	public double overallMillis() {
		return this.overallMillis;
	}

	private static double smoothed(double former, double millis) {
		return (former == 0) ? millis : former + SMOOTHING_FACTOR * (millis - former);
	}

	/**
	 * The time of one route.
	 *
	 * @param millis the smoothed time in milliseconds
	 * @param observedAtMillis when it was last observed, in monotonic milliseconds
	 */
	private record Observation(double millis, long observedAtMillis) {

		boolean isStale(long now) {
			return now - this.observedAtMillis > STALE_MILLIS;
		}

	}

}
