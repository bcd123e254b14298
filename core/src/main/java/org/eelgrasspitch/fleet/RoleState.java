package org.eelgrasspitch.fleet;

/**
 * States of the state chart {@code reader-role}.
 */
public enum RoleState {

	/** Receives new versions from readers. */
	FOLLOWER,

	/** Has no status from any peer and reads the platform at intervals. */
	SELF_CHECK,

	/** Watches the platform for its failure domain. */
	READER

}
