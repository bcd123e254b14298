package org.eelgrasspitch.fleet;

/**
 * States of the chart {@code reader-role}.
 */
public enum RoleState {

	/** Hears of new versions from readers. */
	FOLLOWER,

	/** Hears from nobody and reads the platform now and then. */
	SELF_CHECK,

	/** Watches the platform for its failure domain. */
	READER

}
