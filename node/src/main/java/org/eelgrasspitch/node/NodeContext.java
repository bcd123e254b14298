package org.eelgrasspitch.node;

import org.eelgrasspitch.misc.TimeSource;
import org.eelgrasspitch.node.EventLog.Field;

/**
 * What the parts of one node share.
 *
 * @param settings what the node was told
 * @param time the system's clocks
 * @param incarnation distinguishes this process from earlier ones on the same VM
 * @param startedAt monotonic time at which the process started, in milliseconds
 * @param state what the control thread published
 * @param metrics counters
 * @param burnRates how requests ended against their objectives
 * @param log the event log
 */
record NodeContext(NodeSettings settings, TimeSource time, long incarnation, long startedAt, NodeState state,
		NodeMetrics metrics, BurnRateRecorder burnRates, EventLog log) {

	private static final int EXIT_BROKEN_INVARIANT = 70;

	/**
	 * Returns the time since the process started.
	 * @return milliseconds
	 */
	long uptimeMillis() {
		return this.time.monotonicMillis() - this.startedAt;
	}

	/**
	 * Stops the process because an invariant does not hold. Nothing that this process
	 * says could be trusted any more.
	 * @param where name of the thread or part
	 * @param cause what was seen
	 */
	void haltProcess(String where, Throwable cause) {
		this.log.warn("invariant_broken", Field.of("where", where), Field.of("cause", cause));
		cause.printStackTrace();
		Runtime.getRuntime().halt(EXIT_BROKEN_INVARIANT);
	}

}
