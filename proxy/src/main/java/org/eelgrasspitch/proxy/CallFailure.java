package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.HomeLoad;

/**
 * The end of a call without an answer.
 *
 * @param reason why
 * @param reachedTarget whether the target received any of it, run or not
 * @param mayHaveRun whether the target may have begun to run it
 * @param returnMillis when it may be tried again; 0 when that is not known
 * @param load the home's load; {@link HomeLoad#UNKNOWN} when the home did not say
 */
record CallFailure(FailureReason reason, boolean reachedTarget, boolean mayHaveRun, int returnMillis, HomeLoad load) {

	static CallFailure notSent(FailureReason reason, int returnMillis, HomeLoad load) {
		return new CallFailure(reason, false, false, returnMillis, load);
	}

}
