package org.eelgrasspitch.request;

/**
 * What a {@link RecordTable} says about an attempt to start a request.
 */
public sealed interface Claim {

	/**
	 * The attempt may start the request, and no other attempt may.
	 */
	record Start() implements Claim {

	}

	/**
	 * Another attempt has started it; its outcome will serve both.
	 */
	record Running() implements Claim {

	}

	/**
	 * It is finished.
	 *
	 * @param outcome the final outcome
	 */
	record Finished(CallOutcome outcome) implements Claim {

	}

	/**
	 * The attempt must not start it.
	 *
	 * @param outcome what to tell the caller
	 */
	record Refused(CallOutcome outcome) implements Claim {

	}

}
