package org.eelgrasspitch.fleet;

/**
 * Actions of the chart {@code node-life}.
 */
enum LifeAction {

	ASK_PEERS, RELEASE_REQUESTS, TELL_PEERS

}
