package org.eelgrasspitch.fleet;

/**
 * Events of the state chart {@code node-life}.
 */
enum LifecycleEvent {

	/** A text is held. */
	TEXT_HELD,

	/** The evidence is fresh and no peer is known to hold a later text. */
	CONFIRMED,

	/** The text was not confirmed within {@link FleetSettings#confirmMillis()}. */
	CONFIRM_TIMEOUT,

	/** No event was handled for {@link FleetSettings#pauseMillis()} or longer. */
	PAUSED,

	/** There is no fresh evidence. */
	EVIDENCE_LOST,

	/** The node must shut down gracefully. */
	LEAVE,

	/** The last request of a leaving node has finished. */
	DRAINED

}
