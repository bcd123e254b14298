package org.eelgrasspitch.mesh;

import org.eelgrasspitch.misc.EnumNames;

/**
 * Load of a target and of the queue at its home, the node on the target's VM. The home
 * reports it with every reply and heartbeat, so that entry nodes place requests by
 * reported rather than estimated load.
 *
 * @param state whether the target accepts requests
 * @param running number of requests running at the target
 * @param waiting number of requests waiting at the home
 * @param slots maximum number of requests that the target runs concurrently
 * @param waitMillis expected wait of one more request behind all others, in milliseconds;
 * as reported to other nodes it includes the {@link HandlingDelay} of the home
 * @param serviceMillis moving average of the service time at the target, in milliseconds;
 * 0 before the first observation
 * @param failurePercent moving average of the share of requests that the target failed,
 * in percent
 * @param limitPerSecond limit that the target has named, in requests per second from all
 * nodes together; {@link TargetStatements#NO_LIMIT} if there is none
 */
public record TargetLoad(State state, int running, int waiting, int slots, int waitMillis, int serviceMillis,
		int failurePercent, double limitPerSecond) {

	/**
	 * Load of a target whose home has not reported yet; counts as up, idle and with one
	 * slot.
	 */
	public static final TargetLoad UNKNOWN = new TargetLoad(State.UP, 0, 0, 1, 0, 0, 0, TargetStatements.NO_LIMIT);

	/**
	 * Returns whether the target has named a limit.
	 * @return false if there is no limit
	 */
	public boolean isLimited() {
		return this.limitPerSecond < TargetStatements.NO_LIMIT;
	}

	/**
	 * Returns the load as it affects requests that wait until their home handles them.
	 * @param millis time that a message to the home waits, in milliseconds
	 * @return this load with a wait that is longer by that time
	 */
	public TargetLoad delayedBy(double millis) {
		return new TargetLoad(this.state, this.running, this.waiting, this.slots, this.waitMillis + (int) millis,
				this.serviceMillis, this.failurePercent, this.limitPerSecond);
	}

	/**
	 * Whether a target accepts requests.
	 */
	public enum State {

		/** The target accepts requests. */
		UP,

		/** The target cannot be reached by its home. */
		DOWN,

		/** The target or its home is about to stop. */
		LEAVING;

		private final String word = EnumNames.lowerCase(this);

		/**
		 * Returns the name of the state as written to logs.
		 * @return the constant's name in lower case
		 */
		public String word() {
			return this.word;
		}

	}

}
