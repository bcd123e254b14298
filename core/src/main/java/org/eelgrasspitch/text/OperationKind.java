package org.eelgrasspitch.text;

/**
 * Whether an operation may be run more than once for one request.
 */
public enum OperationKind {

	/** Running it again has no further effect, so it may be retried. */
	IDEMPOTENT("idempotent"),

	/** It must run at most once for each request. */
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
