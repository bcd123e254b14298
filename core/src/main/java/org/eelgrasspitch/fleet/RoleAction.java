package org.eelgrasspitch.fleet;

/**
 * Actions of the state chart {@code reader-role}.
 */
enum RoleAction {

	/**
	 * Abandon the platform calls in flight and end their backoffs, so that this reader
	 * can start watches at once.
	 */
	START_WATCHES,

	/** Abandon the platform calls in flight; a follower starts no watches. */
	STOP_WATCHES,

	/** Call the platform once for each document, without waiting for a revision. */
	READ_ONCE

}
