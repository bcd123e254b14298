package org.eelgrasspitch.text;

/**
 * Whether an operation may be run more than once for one request.
 */
public enum OperationKind {

	/** Repeated execution has no further effect, so requests may be retried. */
	IDEMPOTENT("idempotent"),

	/** The operation must run at most once for each request. */
	AT_MOST_ONCE("at-most-once");

	private final String keyword;

	OperationKind(String keyword) {
		this.keyword = keyword;
	}

	@Override
	public String toString() {
		return this.keyword;
	}

}
