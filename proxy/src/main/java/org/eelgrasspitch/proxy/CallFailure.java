package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.TargetLoad;

/**
 * End of a call without a complete response.
 *
 * @param reason why it ended
 * @param reachedTarget whether the target received, or may have received, any part of it,
 * run or not
 * @param mayHaveRun whether the target may have started to run it
 * @param retryAfterMillis time after which it may be retried, in milliseconds; 0 if not
 * known
 * @param load the home's load; {@link TargetLoad#UNKNOWN} if the home did not report it
 */
record CallFailure(FailureReason reason, boolean reachedTarget, boolean mayHaveRun, int retryAfterMillis,
		TargetLoad load) {

	static CallFailure notSent(FailureReason reason, int retryAfterMillis, TargetLoad load) {
		return new CallFailure(reason, false, false, retryAfterMillis, load);
	}

}
