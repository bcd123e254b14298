package org.eelgrasspitch.node;

/**
 * Decides the next step of a node that stops. The order is the same for every setting:
 * requests are refused from the start; the node waits until its peers know that it leaves
 * and nothing is unfinished; at the end of the time it sends the last answers and waits a
 * moment until they are written; then it closes.
 * <p>
 * Not thread-safe.
 */
final class StopSchedule {

	/** The shortest wait, in which peers learn that the node leaves. */
	static final long MIN_DRAIN_MILLIS = 1_000;

	/** Maximum time in which the last answers are written. */
	static final long LAST_ANSWERS_MILLIS = 500;

	/** Time from which the node may close, in monotonic milliseconds. */
	private final long earliestEndAt;

	/** Time at which the last answers are due, in monotonic milliseconds. */
	private final long lastAnswersAt;

	/** When the last answers were due and sent; null before. */
	private Long answeredAt;

	StopSchedule(long startedAt, long drainMillis) {
		this.earliestEndAt = startedAt + MIN_DRAIN_MILLIS;
		this.lastAnswersAt = startedAt + Math.max(MIN_DRAIN_MILLIS, drainMillis);
	}

	/**
	 * Returns when the last answers are due.
	 * @return the time, in monotonic milliseconds
	 */
	long lastAnswersAt() {
		return this.lastAnswersAt;
	}

	/**
	 * Decides the next step. The last answers are sent before the node closes, however
	 * late this is called, for example after a pause of the process.
	 * @param now current monotonic time in milliseconds
	 * @param announced whether the node has begun to tell its peers that it leaves
	 * @param unfinished number of items of accepted work
	 * @return the step
	 */
	Step next(long now, boolean announced, int unfinished) {
		if (now < this.earliestEndAt) {
			return Step.WAIT;
		}
		if (unfinished == 0 && (announced || now >= this.lastAnswersAt)) {
			return Step.CLOSE;
		}
		if (now < this.lastAnswersAt) {
			return Step.WAIT;
		}
		if (this.answeredAt == null) {
			this.answeredAt = now;
			return Step.SEND_LAST_ANSWERS;
		}
		return (now < this.answeredAt + LAST_ANSWERS_MILLIS) ? Step.WAIT : Step.CLOSE;
	}

	/**
	 * Steps of a node that stops.
	 */
	enum Step {

		/** Wait and decide again. */
		WAIT,

		/** Answer all unfinished work and decide again. */
		SEND_LAST_ANSWERS,

		/** Close the node. */
		CLOSE

	}

}
