package org.eelgrasspitch.mesh;

import java.util.HashMap;
import java.util.Map;

/**
 * Smoothed service times of one target, by route and over all routes.
 */
public final class ServiceTimes {

	/** Weight of a new observation; the last ten or so count. */
	private static final double WEIGHT = 0.15;

	/** Time assumed before the first observation, in milliseconds. */
	private static final double INITIAL_MILLIS = 100;

	/** Most routes remembered; beyond them the overall time is used. */
	private static final int MAX_ROUTES = 512;

	private final Map<String, Double> byRoute = new HashMap<>();

	/** Over all routes; 0 before the first observation. */
	private double overall;

	/**
	 * Notes how long a request took.
	 * @param route name of its route
	 * @param millis time at the target in milliseconds
	 */
	public void observed(String route, double millis) {
		this.overall = smoothed(this.overall, millis);
		if (this.byRoute.size() < MAX_ROUTES || this.byRoute.containsKey(route)) {
			this.byRoute.merge(route, millis, ServiceTimes::smoothed);
		}
	}

	/**
	 * Returns the expected time of a request.
	 * @param route name of its route
	 * @return the time in milliseconds
	 */
	public double expected(String route) {
		return this.byRoute.getOrDefault(route, (this.overall > 0) ? this.overall : INITIAL_MILLIS);
	}

	/**
	 * Returns the time over all routes.
	 * @return the time in milliseconds; 0 before the first observation
	 */
	public double overall() {
		return this.overall;
	}

	private static double smoothed(double former, double millis) {
		return (former == 0) ? millis : former + WEIGHT * (millis - former);
	}

}
