package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.PipelineObjectives;

/**
 * A request's place among those of its connection: what has come behind it, and how long
 * its answer has waited for those before it.
 */
final class LinePlace {

	/** Shortest objective of the requests behind it; 0 while there are none. */
	private long followerMillis;

	/** When its answer was complete, in monotonic milliseconds; 0 before. */
	private long completeAt;

	/**
	 * Another request was admitted behind this one.
	 * @param objectiveMillis its objective
	 */
	void followed(long objectiveMillis) {
		this.followerMillis = (this.followerMillis == 0) ? objectiveMillis
				: Math.min(this.followerMillis, objectiveMillis);
	}

	/**
	 * The request has ended.
	 * @param route name of its route
	 * @param followers learns whether any request was behind it
	 * @param now current monotonic time in milliseconds
	 */
	void ended(String route, PipelineObjectives followers, long now) {
		this.completeAt = now;
		if (this.followerMillis > 0) {
			followers.recordFollowed(route, this.followerMillis);
			return;
		}
		followers.recordUnfollowed(route);
	}

	/**
	 * Its answer is written now that earlier ones are.
	 * @param objectiveAt when it became late, in monotonic milliseconds
	 * @param log notes the wait
	 * @param now current monotonic time in milliseconds
	 */
	void released(long objectiveAt, RequestLog log, long now) {
		if (now > this.completeAt) {
			log.held(now - this.completeAt, now > objectiveAt && this.completeAt <= objectiveAt);
		}
	}

}
