package org.eelgrasspitch.text;

/**
 * Importance of an operation when load must be shed. Lower constants are shed first.
 */
public enum Priority {

	/** Checks between services that nobody waits for. */
	BACKGROUND("background"),

	/** Lookups that a person waits for. */
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
