package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.PipelineObjectives;

/**
 * A request's place among those of its connection: what has come behind it, and how long
 * its answer has waited for those before it.
 */
final class PipelinePosition {

	/** Shortest objective of the requests behind it; 0 while there are none. */
	private long shortestFollowerMillis;

	/** When its answer was complete, in monotonic milliseconds; 0 before. */
	private long completedAtMillis;

	/**
	 * Another request was admitted behind this one.
	 * @param objectiveMillis its objective
	 */
	void recordFollower(long objectiveMillis) {
		this.shortestFollowerMillis = (this.shortestFollowerMillis == 0) ? objectiveMillis
				: Math.min(this.shortestFollowerMillis, objectiveMillis);
	}

	/**
	 * The request has ended.
	 * @param route name of its route
	 * @param pipelineObjectives learns whether any request was behind it
	 * @param now current monotonic time in milliseconds
	 */
	void ended(String route, PipelineObjectives pipelineObjectives, long now) {
		this.completedAtMillis = now;
		if (this.shortestFollowerMillis > 0) {
			pipelineObjectives.recordWithPipelined(route, this.shortestFollowerMillis);
			return;
		}
		pipelineObjectives.recordWithoutPipelined(route);
	}

	/**
	 * Its answer is written now that earlier ones are.
	 * @param objectiveAtMillis when it became late, in monotonic milliseconds
	 * @param log notes the wait
	 * @param now current monotonic time in milliseconds
	 */
	void released(long objectiveAtMillis, RequestLog log, long now) {
		if (now > this.completedAtMillis) {
			log.held(now - this.completedAtMillis,
					now > objectiveAtMillis && this.completedAtMillis <= objectiveAtMillis);
		}
	}

}
