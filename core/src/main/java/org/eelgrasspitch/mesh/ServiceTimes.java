package org.eelgrasspitch.mesh;

import java.util.HashMap;
import java.util.Map;

/**
 * Moving averages of the service time at one target, by route and over all routes. The
 * average of a route expires when the route has not been observed for
 * {@link #STALE_MILLIS}, so that a target that was slow for a while is evaluated again.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class ServiceTimes {

	/** Weight of a new observation in the moving average; about the last ten count. */
	private static final double SMOOTHING_FACTOR = 0.15;

	/**
	 * Service time assumed for a route without a recent observation, in milliseconds. It
	 * is short because an estimate that causes requests to be refused would never be
	 * corrected.
	 */
	private static final double UNKNOWN_MILLIS = 50;

	/** Maximum number of tracked routes; further routes count as not observed. */
	private static final int MAX_ROUTES = 512;

	/** Time after which an observation is ignored, in milliseconds. */
	private static final long STALE_MILLIS = 8_000;

	private final Map<String, Observation> byRoute = new HashMap<>();

	/** Moving average over all routes; 0 before the first observation. */
	private double overallMillis;

	/**
	 * Records the service time of a request.
	 * @param route name of the request's route
	 * @param millis service time at the target in milliseconds
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
	 * Returns the average service time of a recently observed route.
	 * @param route name of the route
	 * @param now current monotonic time in milliseconds
	 * @return the time in milliseconds; 0 if the route was not observed recently
	 */
	public double recentMillis(String route, long now) {
		Observation observation = this.byRoute.get(route);
		return (observation == null || observation.isStale(now)) ? 0 : observation.millis();
	}

	/**
	 * Returns the expected service time of a request.
	 * @param route name of the request's route
	 * @param now current monotonic time in milliseconds
	 * @return the average time in milliseconds, or a short default if the route was not
	 * observed recently
	 */
	public double expectedMillis(String route, long now) {
		double recent = recentMillis(route, now);
		return (recent > 0) ? recent : UNKNOWN_MILLIS;
	}

	/**
	 * Returns the service time that is known of a route, however old. It is for decisions
	 * that an estimate which is never corrected does not harm, such as those of a node
	 * that stops.
	 * @param route name of the route
	 * @return the last average time of the route in milliseconds; the average over all
	 * routes, but at least a short default, if the route was never observed
	 */
	public double lastKnownMillis(String route) {
		Observation observation = this.byRoute.get(route);
		return (observation != null) ? observation.millis() : Math.max(this.overallMillis, UNKNOWN_MILLIS);
	}

	/**
	 * Returns the average service time over all routes.
	 * @return the time in milliseconds; 0 before the first observation
	 */
	public double overallMillis() {
		return this.overallMillis;
	}

	private static double smoothed(double former, double millis) {
		return (former == 0) ? millis : former + SMOOTHING_FACTOR * (millis - former);
	}

	/**
	 * Moving average of one route.
	 *
	 * @param millis average service time in milliseconds
	 * @param observedAtMillis monotonic time of the last observation in milliseconds
	 */
	private record Observation(double millis, long observedAtMillis) {

		boolean isStale(long now) {
			return now - this.observedAtMillis > STALE_MILLIS;
		}

	}

}
