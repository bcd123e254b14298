package org.eelgrasspitch.node;

import org.eelgrasspitch.misc.TimeSource;
import org.eelgrasspitch.node.EventLog.Field;

/**
 * Shared context of the components of one node.
 *
 * @param settings settings of the node
 * @param time source of time
 * @param incarnation distinguishes this process from earlier processes on the same VM
 * @param startedAt start time of the process, in monotonic milliseconds
 * @param state state published by the control thread
 * @param metrics metrics of the node
 * @param objectives counts of good and bad requests per operation
 * @param log event log
 * @param work work that the node has accepted and not finished
 */
record NodeContext(NodeSettings settings, TimeSource time, long incarnation, long startedAt, NodeState state,
		NodeMetrics metrics, ObjectiveRecorder objectives, EventLog log, AcceptedWork work) {

	private static final int EXIT_BROKEN_INVARIANT = 70;

	/**
	 * Returns the time since the process started.
	 * @return the time in milliseconds
	 */
	long uptimeMillis() {
		return this.time.monotonicMillis() - this.startedAt;
	}

	/**
	 * Returns whether this node refuses new requests because it leaves. A request that
	 * must not be missed by the stop of the node begins an item of work before it asks.
	 * @return true once it does
	 */
	boolean isLeaving() {
		return !this.work.isAccepting() || this.state.lifecycle().isLeaving();
	}

	/**
	 * Halts the process because an invariant is violated and its state can no longer be
	 * trusted.
	 * @param where name of the thread or component
	 * @param cause the failure
	 */
	void haltProcess(String where, Throwable cause) {
		this.log.warn("invariant_broken", Field.of("where", where), Field.of("cause", cause));
		cause.printStackTrace();
		Runtime.getRuntime().halt(EXIT_BROKEN_INVARIANT);
	}

}
