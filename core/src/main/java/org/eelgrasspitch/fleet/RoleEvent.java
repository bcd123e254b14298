package org.eelgrasspitch.fleet;

/**
 * Events of the state chart {@code reader-role}.
 */
enum RoleEvent {

	RANKED_IN, RANKED_OUT, HEARD, NOTHING_HEARD

}
