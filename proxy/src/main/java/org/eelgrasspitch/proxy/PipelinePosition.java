package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.PipelineObjectives;

/**
 * Position of a request among the pipelined requests of its connection: the objectives of
 * those behind it, and the time that its response waits for those ahead of it.
 */
final class PipelinePosition {

	/** Shortest objective of the requests behind it; 0 if there are none. */
	private long shortestFollowerMillis;

	/** Monotonic time at which its response was complete, in milliseconds; 0 before. */
	private long completedAtMillis;

	/**
	 * Records a request that was admitted behind this one.
	 * @param objectiveMillis objective of that request in milliseconds
	 */
	void recordFollower(long objectiveMillis) {
		this.shortestFollowerMillis = (this.shortestFollowerMillis == 0) ? objectiveMillis
				: Math.min(this.shortestFollowerMillis, objectiveMillis);
	}

	/**
	 * Records the end of the request.
	 * @param route name of its route; empty if it was not admitted
	 * @param pipelineObjectives updated with the objectives of the requests behind it
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
	 * Logs how long the complete response has waited for earlier ones.
	 * @param objectiveAtMillis monotonic time of its objective in milliseconds
	 * @param log log of the request
	 * @param now current monotonic time in milliseconds
	 */
	void logHeldTime(long objectiveAtMillis, RequestLog log, long now) {
		if (now > this.completedAtMillis) {
			log.held(now - this.completedAtMillis,
					now > objectiveAtMillis && this.completedAtMillis <= objectiveAtMillis);
		}
	}

}
