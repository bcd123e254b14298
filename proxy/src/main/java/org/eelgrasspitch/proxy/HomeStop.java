package org.eelgrasspitch.proxy;

import java.util.Optional;

import org.eelgrasspitch.mesh.StopSequence;

/**
 * What the planned stop of a node means for the calls at its home: which of them must not
 * start any more. A call is checked when it arrives and again when it is its turn to
 * start, because it may have waited for a slot, for permission or for a connection.
 * <p>
 * A call that is expected to run past the last answers of this node is refused while it
 * has not run. The expected time is the last known one of its route; calls of the route
 * that run already show when it has become longer.
 * <p>
 * Example: a node has 3 s until its last answers, and payments take 4 s. A payment that
 * has waited for a slot is refused when it gets one.
 * <p>
 * Not thread-safe; must be used on the event loop.
 */
final class HomeStop {

	private final TargetOutcomes outcomes;

	private final RunningCalls running;

	/**
	 * Monotonic time in milliseconds at which this node sends its last answers;
	 * {@link Long#MAX_VALUE} while it does not stop.
	 */
	private long endAtMillis = Long.MAX_VALUE;

	/** Whether this node is about to close, so that no call may start any more. */
	private boolean closing;

	HomeStop(TargetOutcomes outcomes, RunningCalls running) {
		this.outcomes = outcomes;
		this.running = running;
	}

	void begin(StopSequence begun) {
		this.endAtMillis = begun.answersAtMillis();
	}

	void beginClosing() {
		this.closing = true;
	}

	/**
	 * Returns why a call must not be sent to the target any more.
	 * @param head head of the call
	 * @param now current monotonic time in milliseconds
	 * @return the reason, or empty if it may start
	 */
	Optional<FailureReason> obstacle(CallHead head, long now) {
		if (this.closing || isOutlasted(head, now)) {
			return Optional.of(FailureReason.LEAVING);
		}
		return (now >= head.deadlineAtMillis()) ? Optional.of(FailureReason.OVERLOADED) : Optional.empty();
	}

	/**
	 * Returns whether a call is expected to outlast this node if the target starts it
	 * now.
	 * @param head head of the call
	 * @param now current monotonic time in milliseconds
	 * @return true if this node is stopping and the call must not start
	 */
	boolean isOutlasted(CallHead head, long now) {
		if (this.endAtMillis == Long.MAX_VALUE) {
			return false;
		}
		double expectedMillis = Math.max(this.outcomes.lastKnownMillis(head.route()),
				this.running.longestMillis(head.route(), now));
		return !StopSequence.endsInTime(expectedMillis, this.endAtMillis, now);
	}

}
