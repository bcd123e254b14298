package org.eelgrasspitch.proxy;

import java.util.HashSet;
import java.util.Set;

/**
 * Tracks the attempts of one request: the current one, its hedge if there is one, and the
 * combined result of those that ended.
 */
final class Attempts {

	/**
	 * Maximum number of homes that may report overload before the request is refused.
	 * Each was the best of several candidates by its last reported load, so a further one
	 * is unlikely to have capacity, and asking all homes of a large service costs both
	 * sides more than the refusal.
	 */
	private static final int MAX_OVERLOADED_HOMES = 4;

	/** Identifiers of all chosen targets, also of those never reached. */
	private final Set<String> triedTargets = new HashSet<>();

	/** The attempt in progress; null before the first and between attempts. */
	private Attempt current;

	/** The hedge in progress beside the current attempt; null if there is none. */
	private Attempt hedge;

	/** Number of ended attempts whose target received the request. */
	private int reachedTargetCount;

	/** Whether any ended attempt may have run the request. */
	private boolean mayHaveRun;

	/** Shortest retry delay that a home has named; 0 if none has. */
	private int retryAfterMillis;

	/** Number of homes that reported overload. */
	private int overloadedHomes;

	/** Reason of the latest failure; null if no attempt has failed. */
	private FailureReason lastReason;

	Set<String> triedTargets() {
		return this.triedTargets;
	}

	int reachedTargetCount() {
		return this.reachedTargetCount;
	}

	int retryAfterMillis() {
		return this.retryAfterMillis;
	}

	/**
	 * Returns the reason of the latest failure.
	 * @return the reason, or null if no attempt has failed
	 */
	FailureReason lastReason() {
		return this.lastReason;
	}

	/**
	 * Returns the attempt in progress; with a hedge, the first one.
	 * @return the attempt, or null if there is none
	 */
	Attempt current() {
		return this.current;
	}

	boolean isCurrent(Attempt candidate) {
		return candidate == this.current || candidate == this.hedge;
	}

	boolean hasResponseHead() {
		return this.current != null && this.current.reply() != null;
	}

	/**
	 * Returns whether the request has certainly not run.
	 * @return true if no ended attempt may have run it and the attempt in progress, if
	 * there is one, has not been permitted to start it; false while an attempt of an
	 * idempotent request is in progress, since that needs no permission
	 */
	boolean haveDefinitelyNotRun() {
		// Only idempotent requests have a hedge, so the current attempt decides.
		return !this.mayHaveRun && (this.current == null || this.current.hasDefinitelyNotRun());
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	void began(Attempt attempt) {
		this.current = attempt;
		this.triedTargets.add(attempt.target().id());
	}

	void hedgeBegan(Attempt attempt) {
		this.hedge = attempt;
		this.triedTargets.add(attempt.target().id());
	}

	/**
	 * Makes an attempt that received a response head the current one and supersedes the
	 * other one, if there is one.
	 * @param answering the attempt
	 */
	void select(Attempt answering) {
		Attempt other = other(answering);
		this.current = answering;
		this.hedge = null;
		if (other != null) {
			other.supersede();
		}
	}

	/**
	 * Records an attempt that ended without a complete response.
	 * @param ended the attempt
	 * @param failure the failure
	 * @return true if another attempt is in progress
	 */
	boolean failed(Attempt ended, CallFailure failure) {
		this.lastReason = failure.reason();
		this.overloadedHomes += (failure.reason() == FailureReason.OVERLOADED
				|| failure.reason() == FailureReason.RETRY_BUDGET) ? 1 : 0;
		this.mayHaveRun |= failure.mayHaveRun();
		this.reachedTargetCount += failure.reachedTarget() ? 1 : 0;
		if (failure.retryAfterMillis() > 0) {
			this.retryAfterMillis = (this.retryAfterMillis == 0) ? failure.retryAfterMillis()
					: Math.min(this.retryAfterMillis, failure.retryAfterMillis());
		}
		this.current = other(ended);
		this.hedge = null;
		return this.current != null;
	}

	/**
	 * Returns whether another home may be tried after a refusal.
	 * @return false if the maximum number of homes reported overload
	 */
	boolean mayTryAnother() {
		return this.overloadedHomes < MAX_OVERLOADED_HOMES;
	}

	boolean isOnlyAttempt(Attempt attempt) {
		return other(attempt) == null;
	}

	void cancel() {
		Attempt one = this.current;
		Attempt other = this.hedge;
		this.current = null;
		this.hedge = null;
		if (one != null) {
			one.cancel();
		}
		if (other != null) {
			other.cancel();
		}
	}

	private Attempt other(Attempt one) {
		return (one == this.current) ? this.hedge : this.current;
	}

}
