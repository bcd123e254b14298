package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.ServiceTimes;

/**
 * How the calls at the target of this VM ended lately, and how long they took. Not
 * thread-safe; must be used on the event loop.
 */
final class TargetOutcomes {

	/** Weight of a new outcome in the moving average of failures. */
	private static final double FAILURE_SMOOTHING_FACTOR = 0.08;

	private static final int PERCENT = 100;

	private final ServiceTimes serviceTimes = new ServiceTimes();

	/** Moving average of the share of failed calls, 0 to 1, since the target's start. */
	private double failureShare;

	/**
	 * Records the end of a call that was sent to the target.
	 * @param route name of its route
	 * @param millis time since it got its slot, in milliseconds
	 * @param succeeded whether the target served it
	 * @param now current monotonic time in milliseconds
	 */
	void record(String route, long millis, boolean succeeded, long now) {
		if (succeeded) {
			this.serviceTimes.observe(route, millis, now);
		}
		this.failureShare += FAILURE_SMOOTHING_FACTOR * ((succeeded ? 0 : 1) - this.failureShare);
	}

	/**
	 * Forgets the failures of the former target.
	 */
	void targetReplaced() {
		this.failureShare = 0;
	}

	/**
	 * Estimates the service time of a call.
	 * @param route name of its route
	 * @param now current monotonic time in milliseconds
	 * @return the time in milliseconds
	 */
	double expectedMillis(String route, long now) {
		return this.serviceTimes.expectedMillis(route, now);
	}

	/**
	 * Returns the service time that is known of a route, however old; see
	 * {@link ServiceTimes#lastKnownMillis}.
	 * @param route name of the route
	 * @return the time in milliseconds
	 */
	double lastKnownMillis(String route) {
		return this.serviceTimes.lastKnownMillis(route);
	}

	/**
	 * Returns the moving average of the service time.
	 * @return the time in milliseconds; 0 before the first observation
	 */
	int serviceMillis() {
		return (int) this.serviceTimes.overallMillis();
	}

	int failurePercent() {
		return (int) (this.failureShare * PERCENT);
	}

}
