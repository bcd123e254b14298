package org.eelgrasspitch.fleet;

/**
 * Events of the state chart {@code reader-role}.
 */
enum RoleEvent {

	/** The ranking selects this node as a reader, or every node polls the platform. */
	RANKED_IN,

	/** The ranking does not select this node as a reader. */
	RANKED_OUT,

	/** The peer of an open outbound link has sent its status. */
	HEARD,

	/** No such status exists and a self-check is due. */
	NOTHING_HEARD

}
