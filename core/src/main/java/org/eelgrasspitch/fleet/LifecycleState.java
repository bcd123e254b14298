package org.eelgrasspitch.fleet;

/**
 * States of the state chart {@code node-life}.
 */
public enum LifecycleState {

	/** No text is held yet; requests are refused. */
	STARTING,

	/** A text is held and is being confirmed; requests wait up to a timeout. */
	CONFIRMING,

	/** Serving a confirmed text. */
	SERVING,

	/** Serving a text without fresh evidence that it is current. */
	ISOLATED,

	/** Draining requests in flight; new ones are refused. */
	LEAVING,

	/** All requests are drained. */
	STOPPED;

	/**
	 * Tells whether a node in this state permanently refuses new requests.
	 * @return true for {@link #LEAVING} and {@link #STOPPED}
	 */
	public boolean isLeaving() {
		return this == LEAVING || this == STOPPED;
	}

}
