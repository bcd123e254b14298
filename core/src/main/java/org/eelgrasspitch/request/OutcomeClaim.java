package org.eelgrasspitch.request;

import java.util.EnumSet;
import java.util.Set;

/**
 * Decides what an entry node may claim about a request, given what it knows of other
 * attempts.
 * <p>
 * "Not run" is a promise about every attempt of an at-most-once request. Only the home of
 * its ticket, which keeps a record of each attempt, can give it after the first attempt.
 * An entry node that refuses such a request itself, or hears a refusal that the home gave
 * without consulting its records, knows nothing about earlier attempts.
 * <p>
 * Example: a payment runs, its response is lost with the entry node, and the caller
 * resends it through a node that has just started and has no configuration. That node
 * answers "unknown"; the answer "not run" would make the caller pay again.
 */
public final class OutcomeClaim {

	/** Refusals that are given without consulting the records of the ticket's home. */
	private static final Set<Reason> WITHOUT_RECORDS = EnumSet.of(Reason.HOME_UNREACHABLE, Reason.NOT_READY,
			Reason.NO_ROUTE);

	private OutcomeClaim() {
	}

	/**
	 * Returns the outcome of a request that this node refuses without sending it.
	 * @param reason why it is refused
	 * @param retryAfterMillis delay before it may be sent again, in milliseconds
	 * @param atMostOnce whether it must not run twice
	 * @param firstAttempt whether the caller declares that it has not sent it before
	 * @return "not run", or "unknown" if an earlier attempt may have run
	 */
	public static CallOutcome refused(Reason reason, long retryAfterMillis, boolean atMostOnce, boolean firstAttempt) {
		if (atMostOnce && !firstAttempt) {
			return new CallOutcome.Unknown(reason);
		}
		return new CallOutcome.NotRun(reason, retryAfterMillis);
	}

	/**
	 * Adjusts the outcome of an attempt to what this node knows about other attempts.
	 * @param outcome outcome of the latest attempt
	 * @param atMostOnce whether the request must not run twice
	 * @param firstAttempt whether the caller declares that it has not sent it before
	 * @param mayHaveRun whether an earlier attempt of this node may have run
	 * @return the outcome to report to the caller
	 */
	public static CallOutcome reconcile(CallOutcome outcome, boolean atMostOnce, boolean firstAttempt,
			boolean mayHaveRun) {
		return switch (outcome) {
			case CallOutcome.NotRun notRun when mayHaveRun -> new CallOutcome.Unknown(notRun.reason());
			case CallOutcome.NotRun notRun when atMostOnce && WITHOUT_RECORDS.contains(notRun.reason()) ->
				refused(notRun.reason(), notRun.retryAfterMillis(), true, firstAttempt);
			// A restarted home has certainly not run a request that is sent for the first
			// time.
			case CallOutcome.Unknown unknown when firstAttempt && unknown.reason() == Reason.HOME_RESTARTED ->
				new CallOutcome.NotRun(Reason.HOME_RESTARTED, 0);
			default -> outcome;
		};
	}

}
