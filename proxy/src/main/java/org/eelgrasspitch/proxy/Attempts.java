package org.eelgrasspitch.proxy;

import java.util.HashSet;
import java.util.Set;

/**
 * The attempts of one request: those in progress, which are one, or a slow one and a
 * second one beside it, and what the ended ones have shown.
 */
final class Attempts {

	/**
	 * Homes that may say that they are overloaded before the caller is told: each was the
	 * best of several by its last word, so a further one hardly has room, and asking all
	 * of a large service costs both sides more than the refusal.
	 */
	private static final int MAX_OVERLOADED_HOMES = 4;

	/** Identifiers of all targets that were chosen. */
	private final Set<String> tried = new HashSet<>();

	/** The attempt in progress; null before the first and between two. */
	private Attempt current;

	/** The second attempt beside a slow one; null when there is none. */
	private Attempt hedge;

	/** Ended attempts whose target has received the request. */
	private int reachedTargets;

	private boolean mayHaveRun;

	/** Earliest return that a home has named, in milliseconds; 0 when none has. */
	private int retryAfterMillis;

	/** Homes that were overloaded. */
	private int overloadedHomes;

	/** How the last attempt failed; null when none has. */
	private FailureReason lastReason;

	Set<String> tried() {
		return this.tried;
	}

	int reachedTargets() {
		return this.reachedTargets;
	}

	int retryAfterMillis() {
		return this.retryAfterMillis;
	}

	/**
	 * Returns how the last attempt failed.
	 * @return the reason, or null when none has failed
	 */
	FailureReason lastReason() {
		return this.lastReason;
	}

	/**
	 * Returns the attempt in progress, the slow one if there are two.
	 * @return the attempt, or null when there is none
	 */
	Attempt current() {
		return this.current;
	}

	boolean isCurrent(Attempt candidate) {
		return candidate == this.current || candidate == this.hedge;
	}

	boolean isAnswering() {
		return this.current != null && this.current.reply() != null;
	}

	/**
	 * Tells whether a request that must not run twice has certainly not run.
	 * @return true when nothing that was sent may have started
	 */
	boolean haveDefinitelyNotRun() {
		return !this.mayHaveRun && (this.current == null || this.current.hasDefinitelyNotRun());
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	void began(Attempt attempt) {
		this.current = attempt;
		this.tried.add(attempt.target().id());
	}

	void hedgeBegan(Attempt attempt) {
		this.hedge = attempt;
		this.tried.add(attempt.target().id());
	}

	/**
	 * An attempt has begun to answer: the other one, if there is one, is given up.
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
	 * Notes that an attempt has ended without an answer.
	 * @param ended the attempt
	 * @param failure how it ended
	 * @return true when another one is in progress
	 */
	boolean failed(Attempt ended, CallFailure failure) {
		this.lastReason = failure.reason();
		this.overloadedHomes += (failure.reason() == FailureReason.OVERLOADED) ? 1 : 0;
		this.mayHaveRun |= failure.mayHaveRun();
		this.reachedTargets += failure.reachedTarget() ? 1 : 0;
		if (failure.retryAfterMillis() > 0) {
			this.retryAfterMillis = (this.retryAfterMillis == 0) ? failure.retryAfterMillis()
					: Math.min(this.retryAfterMillis, failure.retryAfterMillis());
		}
		this.current = other(ended);
		this.hedge = null;
		return this.current != null;
	}

	/**
	 * Tells whether another home may be asked after one that has refused.
	 * @return false when enough were overloaded
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
