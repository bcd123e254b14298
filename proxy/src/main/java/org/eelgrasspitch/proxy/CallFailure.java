package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.TargetLoad;

/**
 * The end of a call without an answer.
 *
 * @param reason why
 * @param reachedTarget whether the target received any of it, run or not
 * @param mayHaveRun whether the target may have begun to run it
 * @param retryAfterMillis when it may be tried again; 0 when that is not known
 * @param load the home's load; {@link TargetLoad#UNKNOWN} when the home did not say
 */
record CallFailure(FailureReason reason, boolean reachedTarget, boolean mayHaveRun, int retryAfterMillis,
		TargetLoad load) {

	static CallFailure notSent(FailureReason reason, int retryAfterMillis, TargetLoad load) {
		return new CallFailure(reason, false, false, retryAfterMillis, load);
	}

}
