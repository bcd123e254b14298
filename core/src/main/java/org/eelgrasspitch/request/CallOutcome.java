package org.eelgrasspitch.request;

import java.util.List;

/**
 * What became of a request.
 */
public sealed interface CallOutcome {

	/**
	 * The target answered, and the answer is whole.
	 *
	 * @param status HTTP status
	 * @param headers headers to pass on
	 * @param body the whole body; not modified after construction
	 */
	record Answered(int status, List<Header> headers, byte[] body) implements CallOutcome {

	}

	/**
	 * The request was not run by this attempt, and this attempt will not run it later.
	 *
	 * @param reason why
	 * @param retryAfterMillis when to send it again, in milliseconds from now
	 */
	record NotRun(Reason reason, long retryAfterMillis) implements CallOutcome {

	}

	/**
	 * The request may have run.
	 *
	 * @param reason why that is not known
	 */
	record Unknown(Reason reason) implements CallOutcome {

	}

	/**
	 * The request is still running; its outcome can be asked for with its ticket.
	 *
	 * @param askAfterMillis when to ask, in milliseconds from now
	 */
	record Late(long askAfterMillis) implements CallOutcome {

	}

}
