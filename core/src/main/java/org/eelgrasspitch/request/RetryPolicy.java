package org.eelgrasspitch.request;

import java.util.EnumSet;
import java.util.Set;

import org.eelgrasspitch.text.OperationKind;

/**
 * Decides whether a request that was not answered is sent to another target.
 * <p>
 * An at-most-once request never is: only the home of its ticket may run it. An idempotent
 * one may be, up to {@link #MAX_ATTEMPTS} attempts. Refusals that cost the refuser
 * nothing, because it is leaving or not there, need no budget; everything else takes one
 * retry from the {@link RetryBudget}.
 */
public final class RetryPolicy {

	/** Most attempts for one request, the first included. */
	public static final int MAX_ATTEMPTS = 3;

	private static final Set<Reason> FREE = EnumSet.of(Reason.LEAVING, Reason.HOME_UNREACHABLE,
			Reason.TARGET_UNREACHABLE, Reason.NOT_READY, Reason.NO_ROUTE);

	private RetryPolicy() {
	}

	/**
	 * Decides about one more attempt.
	 * @param kind kind of the operation
	 * @param outcome how the latest attempt ended
	 * @param attempts attempts made so far
	 * @param budget retries available
	 * @return true when another attempt is to be made
	 */
	public static boolean mayRetry(OperationKind kind, CallOutcome outcome, int attempts, RetryBudget budget) {
		if (kind == OperationKind.AT_MOST_ONCE || attempts >= MAX_ATTEMPTS) {
			return false;
		}
		return switch (outcome) {
			case CallOutcome.Answered answered -> false;
			case CallOutcome.Late late -> false;
			case CallOutcome.NotRun notRun -> FREE.contains(notRun.reason()) || budget.tryTake();
			case CallOutcome.Unknown unknown -> budget.tryTake();
		};
	}

}
