package org.eelgrasspitch.request;

import java.util.List;

/**
 * Outcome of a request or of one attempt to run it.
 */
public sealed interface CallOutcome {

	/**
	 * The target returned a complete response of any status.
	 *
	 * @param status HTTP status
	 * @param headers response headers to pass on to the caller
	 * @param body the whole body; must not be modified after construction
	 */
	record Answered(int status, List<Header> headers, byte[] body) implements CallOutcome {

	}

	/**
	 * This attempt has not run the request and will not run it later.
	 *
	 * @param reason why it was not run
	 * @param retryAfterMillis delay before it may be sent again, in milliseconds; 0 if no
	 * delay is needed or a resend cannot succeed
	 */
	record NotRun(Reason reason, long retryAfterMillis) implements CallOutcome {

	}

	/**
	 * It is not known whether the request has run.
	 *
	 * @param reason why it is not known
	 */
	record Unknown(Reason reason) implements CallOutcome {

	}

	/**
	 * The request is still running; its outcome can be queried with its ticket.
	 *
	 * @param askAfterMillis delay before the query, in milliseconds; 0 if it may be made
	 * at once
	 */
	record Late(long askAfterMillis) implements CallOutcome {

	}

}
