package org.eelgrasspitch.mesh;

/**
 * What a target has stated about itself in its answers so far.
 * <p>
 * A limit holds for as long as the target names it. Answers can overtake each other, so
 * an answer without a limit ends the limit only if its request was sent after the last
 * answer with a limit had arrived. A target that once stated that it is leaving does not
 * return.
 * <p>
 * Example: requests A and B are sent. B's answer names 20 requests per second; A's, which
 * arrives later, names none. The limit stays. The answer to a request that is sent
 * afterwards names none, and the limit ends.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class TargetStatements {

	/** Limit of a target that has not named one. */
	public static final double NO_LIMIT = Double.POSITIVE_INFINITY;

	private double limitPerSecond = NO_LIMIT;

	/** Monotonic time of the last answer with a limit, in milliseconds. */
	private long limitStatedAtMillis = Long.MIN_VALUE;

	/** Monotonic time of the last answer that showed a limit or none, in milliseconds. */
	private long lastAnswerAtMillis;

	/**
	 * Monotonic time in milliseconds after which the limit in force was named;
	 * meaningless without a limit.
	 */
	private long limitNamedAfterMillis;

	private boolean leaving;

	/** Whether any answer has shown whether there is a limit. */
	private boolean answered;

	/**
	 * Records what an answer states.
	 * @param statement the statement
	 * @param sentAtMillis monotonic time at which the answered request was sent, in
	 * milliseconds
	 * @param now current monotonic time in milliseconds
	 */
	public void record(TargetStatement statement, long sentAtMillis, long now) {
		this.leaving |= statement.leaving();
		if (statement.limitPerSecond().isPresent()) {
			setLimit(statement.limitPerSecond().getAsDouble(), this.answered ? this.lastAnswerAtMillis : now);
			this.limitStatedAtMillis = now;
		}
		else if (statement.complete() && sentAtMillis > this.limitStatedAtMillis) {
			this.limitPerSecond = NO_LIMIT;
		}
		if (statement.complete() || statement.limitPerSecond().isPresent()) {
			this.answered = true;
			this.lastAnswerAtMillis = now;
		}
	}

	/**
	 * Adopts a limit that another node knows, for the time until the first answer.
	 * @param perSecond requests per second; {@link #NO_LIMIT} if it knows of none
	 * @param now current monotonic time in milliseconds
	 */
	public void adoptLimit(double perSecond, long now) {
		if (!this.answered && perSecond < this.limitPerSecond) {
			setLimit(perSecond, now);
		}
	}

	private void setLimit(double perSecond, long namedAfterMillis) {
		if (perSecond != this.limitPerSecond) {
			this.limitPerSecond = perSecond;
			this.limitNamedAfterMillis = namedAfterMillis;
		}
	}

	/**
	 * Returns the earliest time at which the target can have named the limit in force.
	 * @return monotonic time in milliseconds of the last answer before that named another
	 * limit or none, or of the first answer; meaningless without a limit
	 */
	public long limitNamedAfterMillis() {
		return this.limitNamedAfterMillis;
	}

	/**
	 * Returns the limit in force.
	 * @return requests per second from all nodes together; {@link #NO_LIMIT} if there is
	 * none
	 */
	public double limitPerSecond() {
		return this.limitPerSecond;
	}

	/**
	 * Returns whether the target has named a limit that is in force.
	 * @return false if there is no limit
	 */
	public boolean isLimited() {
		return this.limitPerSecond < NO_LIMIT;
	}

	/**
	 * Returns whether the target has stated that it is about to stop.
	 * @return true from the first such statement
	 */
	public boolean isLeaving() {
		return this.leaving;
	}

}
