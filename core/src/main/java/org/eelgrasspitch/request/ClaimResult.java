package org.eelgrasspitch.request;

/**
 * Result of {@link RecordTable#claim}, an attempt to start a request.
 */
public sealed interface ClaimResult {

	/**
	 * The attempt may start the request; no other attempt may unless this one releases
	 * it.
	 */
	record Start() implements ClaimResult {

	}

	/**
	 * Another attempt is running the request; its outcome applies to this one as well.
	 */
	record Running() implements ClaimResult {

	}

	/**
	 * The request has finished.
	 *
	 * @param outcome the final outcome
	 */
	record Finished(CallOutcome outcome) implements ClaimResult {

	}

	/**
	 * The attempt must not start the request.
	 *
	 * @param outcome the outcome to return to the caller
	 */
	record Refused(CallOutcome outcome) implements ClaimResult {

	}

}
