package org.eelgrasspitch.fleet;

/**
 * Kinds of {@link FleetEffect.LogEvent}. The constant name in lower case is the event
 * name in logs and the label value in metrics.
 */
public enum EventKind {

	/** A version was accepted. */
	VERSION_ACCEPTED,

	/** A version was rejected because of errors. */
	VERSION_REJECTED,

	/** Two versions have the same revision but different content. */
	REVISION_CONFLICT,

	/** The platform or a peer served an older revision than the one held or known. */
	PLATFORM_STALE,

	/** A platform call failed. */
	PLATFORM_FAILED,

	/** Parts from a peer were incomplete or failed verification. */
	PARTS_DAMAGED,

	/**
	 * A request or reply mentioned a later revision than any accepted or rejected here.
	 */
	REVISION_MENTIONED,

	/** A text names another base than the version that it replaced. */
	BASE_MISMATCH,

	/** The process was paused. */
	PAUSED,

	/** The role of this node changed; see {@link RoleState}. */
	ROLE_CHANGED,

	/**
	 * A peer was silent for too long, or an outbound link to it was closed unexpectedly.
	 */
	PEER_SUSPECTED

}
