package org.eelgrasspitch.fleet;

/**
 * Actions of the state chart {@code node-life}.
 */
enum LifecycleAction {

	ASK_PEERS, RELEASE_REQUESTS, TELL_PEERS

}
