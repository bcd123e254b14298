package org.eelgrasspitch.request;

import org.eelgrasspitch.text.OperationKind;

/**
 * Decides whether a request is retried on another target after an attempt without a
 * response.
 * <p>
 * An at-most-once request is never retried: only the node that issued its ticket, the
 * ticket's home, may run it. An idempotent request is retried up to {@link #MAX_ATTEMPTS}
 * attempts, and each retry, whatever its reason, takes one from the {@link RetryBudget}.
 * A request that crashes targets is not retried: neither one that a node reports as
 * quarantined, nor one on which {@link Quarantine#DEATH_THRESHOLD} targets closed the
 * connection during this call, even if no other node has been notified. A response of the
 * target is passed on whatever its status: only the hop next to a failure retries, so
 * retries do not multiply along a call chain.
 */
public final class RetryPolicy {

	/** Maximum number of attempts for one request, including the first. */
	public static final int MAX_ATTEMPTS = 3;

	private RetryPolicy() {
	}

	/**
	 * Decides whether to make another attempt, which takes one retry from the budget.
	 * @param kind kind of the operation
	 * @param outcome outcome of the latest attempt
	 * @param attempts number of attempts made so far
	 * @param abortedAttempts number of attempts of this call on which the target closed
	 * the connection before the complete response
	 * @param budget retry budget of this node
	 * @return true if another attempt is to be made
	 */
	public static boolean tryAcquireRetry(OperationKind kind, CallOutcome outcome, int attempts, int abortedAttempts,
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
			case CallOutcome.NotRun notRun -> notRun.reason() != Reason.QUARANTINED && budget.tryAcquire();
			case CallOutcome.Unknown unknown -> unknown.reason() != Reason.QUARANTINED && budget.tryAcquire();
		};
	}

}
