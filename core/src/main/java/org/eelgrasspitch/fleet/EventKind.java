package org.eelgrasspitch.fleet;

/**
 * Kinds of {@link FleetEffect.LogEvent}. The name in lower case is the event name in logs
 * and the label in metrics.
 */
public enum EventKind {

	/** A version was accepted. */
	VERSION_ACCEPTED,

	/** A version was refused. */
	VERSION_REJECTED,

	/** A revision was seen with two contents. */
	REVISION_CONFLICT,

	/** The platform served something older than what is held. */
	PLATFORM_STALE,

	/** A platform call failed. */
	PLATFORM_FAILED,

	/** Parts from a peer did not fit together. */
	PARTS_DAMAGED,

	/** A caller or node uses a later version than the one held. */
	REVISION_MENTIONED,

	/** A text was not written against the one that it replaced. */
	BASE_MISMATCH,

	/** The process was paused. */
	PAUSED,

	/** This node became or ceased to be a reader. */
	ROLE_CHANGED,

	/** A peer stopped answering. */
	PEER_SUSPECTED

}
