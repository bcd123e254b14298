package org.eelgrasspitch.request;

import org.eelgrasspitch.text.OperationKind;

/**
 * Decides whether a request that was not answered is sent to another target.
 * <p>
 * An at-most-once request never is: only the home of its ticket may run it. An idempotent
 * one may be, up to {@link #MAX_ATTEMPTS} attempts, and each attempt after the first
 * takes one retry from the {@link RetryBudget}, whatever the reason. A request that
 * crashes targets is not tried again: neither one that a home knows to be quarantined,
 * nor one on which {@link Quarantine#DEATH_THRESHOLD} targets broke off during this very
 * call, whether or not anybody else has heard of it. An answer of the target, whatever
 * its status, is passed on: only the hop next to a failure retries, so retries do not
 * multiply along a chain.
 */
public final class RetryPolicy {

	/** Most attempts for one request, the first included. */
	public static final int MAX_ATTEMPTS = 3;

	private RetryPolicy() {
	}

	/**
	 * Decides about one more attempt.
	 * @param kind kind of the operation
	 * @param outcome how the latest attempt ended
	 * @param attempts attempts made so far
	 * @param abortedAttempts attempts of this call on which the target broke off
	 * @param budget retries available
	 * @return true when another attempt is to be made
	 */
	public static boolean mayRetry(OperationKind kind, CallOutcome outcome, int attempts, int abortedAttempts,
			RetryBudget budget) {
		if (kind == OperationKind.AT_MOST_ONCE || attempts >= MAX_ATTEMPTS) {
			return false;
		}
		if (abortedAttempts >= Quarantine.DEATH_THRESHOLD) {
			return false;
		}
		return switch (outcome) {
			case CallOutcome.Answered answered -> false;
			case CallOutcome.Late late -> false;
			case CallOutcome.NotRun notRun -> notRun.reason() != Reason.QUARANTINED && budget.tryTake();
			case CallOutcome.Unknown unknown -> unknown.reason() != Reason.QUARANTINED && budget.tryTake();
		};
	}

}
