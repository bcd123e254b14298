package org.eelgrasspitch.fleet;

/**
 * Actions of the state chart {@code node-life}.
 */
enum LifecycleAction {

	/** Send a query over every outbound link; a reader also calls the platform. */
	ASK_PEERS,

	/**
	 * Release the requests that wait for a confirmation. Performed by the environment
	 * after it has applied all effects of the event, unless the state is
	 * {@link LifecycleState#CONFIRMING}.
	 */
	RELEASE_REQUESTS,

	/** Send this node's status over every link. */
	TELL_PEERS

}
