package org.eelgrasspitch.fleet;

/**
 * States of the chart {@code node-life}.
 */
public enum LifecycleState {

	/** No text is held. */
	STARTING,

	/** A text is held and being confirmed; requests wait for a short bound. */
	CONFIRMING,

	/** Serving a confirmed text. */
	SERVING,

	/** Serving a text that nobody could confirm. */
	ISOLATED,

	/** Finishing requests in flight; new ones are refused. */
	LEAVING,

	/** Finished. */
	STOPPED;

	/**
	 * Tells whether a node in this state accepts no new work for good.
	 * @return true while leaving and afterwards
	 */
	public boolean isLeaving() {
		return this == LEAVING || this == STOPPED;
	}

}
