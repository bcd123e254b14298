package org.eelgrasspitch.text;

/**
 * Priority of an operation for load shedding. Constants are in ascending order; requests
 * of the lowest priority are shed first.
 */
public enum Priority {

	/** Checks between services for which no person waits. */
	BACKGROUND("background"),

	/** Lookups for which a person waits. */
	INTERACTIVE("interactive"),

	/** Payments, issuances and publications. */
	TRANSACTION("transaction");

	private final String keyword;

	Priority(String keyword) {
		this.keyword = keyword;
	}

	@Override
	public String toString() {
		return this.keyword;
	}

}
