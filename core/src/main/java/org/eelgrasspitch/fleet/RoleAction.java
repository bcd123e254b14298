package org.eelgrasspitch.fleet;

/**
 * Actions of the chart {@code reader-role}.
 */
enum RoleAction {

	START_WATCHES, STOP_WATCHES, READ_ONCE

}
