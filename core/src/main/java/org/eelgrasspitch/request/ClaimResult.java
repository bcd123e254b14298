package org.eelgrasspitch.request;

/**
 * What a {@link RecordTable} says about an attempt to start a request.
 */
public sealed interface ClaimResult {

	/**
	 * The attempt may start the request, and no other attempt may.
	 */
	record Start() implements ClaimResult {

	}

	/**
	 * Another attempt has started it; its outcome will serve both.
	 */
	record Running() implements ClaimResult {

	}

	/**
	 * It is finished.
	 *
	 * @param outcome the final outcome
	 */
	record Finished(CallOutcome outcome) implements ClaimResult {

	}

	/**
	 * The attempt must not start it.
	 *
	 * @param outcome what to tell the caller
	 */
	record Refused(CallOutcome outcome) implements ClaimResult {

	}

}
