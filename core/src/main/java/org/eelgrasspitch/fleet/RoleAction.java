package org.eelgrasspitch.fleet;

/**
 * Actions of the state chart {@code reader-role}.
 */
enum RoleAction {

	START_WATCHES, STOP_WATCHES, READ_ONCE

}
