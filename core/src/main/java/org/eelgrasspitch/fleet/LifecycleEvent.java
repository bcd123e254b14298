package org.eelgrasspitch.fleet;

/**
 * Events of the state chart {@code node-life}.
 */
enum LifecycleEvent {

	TEXT_HELD, CONFIRMED, CONFIRM_TIMEOUT, PAUSED, EVIDENCE_LOST, LEAVE, DRAINED

}
