package org.eelgrasspitch.fleet;

/**
 * Events of the chart {@code node-life}.
 */
enum LifeEvent {

	TEXT_HELD, CONFIRMED, CONFIRM_TIMEOUT, PAUSED, EVIDENCE_LOST, LEAVE, DRAINED

}
