package org.eelgrasspitch.mesh;

import org.eelgrasspitch.misc.EnumNames;

/**
 * What a home says of its target and its own queue. It travels with every reply and every
 * heartbeat, so entries place requests on what the homes know rather than on guesses.
 *
 * @param state whether the target takes requests
 * @param running requests that run at the target
 * @param waiting requests that wait at the home
 * @param slots requests that the target runs at a time
 * @param waitMillis expected wait of one more request of middling importance
 * @param serviceMillis smoothed time that a request takes at the target
 * @param failurePercent smoothed share of requests that the target failed, 0 to 100
 */
public record TargetLoad(State state, int running, int waiting, int slots, int waitMillis, int serviceMillis,
		int failurePercent) {

	/** Load of a home that has not said anything yet. */
	public static final TargetLoad UNKNOWN = new TargetLoad(State.UP, 0, 0, 1, 0, 0, 0);

	/**
	 * Whether a target takes requests.
	 */
	public enum State {

		/** It takes requests. */
		UP,

		/** It cannot be reached by its own home. */
		DOWN,

		/** It, or its home, is about to stop. */
		LEAVING;

		private final String word = EnumNames.lowerCase(this);

		/**
		 * Returns the state as logs write it.
		 * @return a word in lower case
		 */
		public String word() {
			return this.word;
		}

	}

}
