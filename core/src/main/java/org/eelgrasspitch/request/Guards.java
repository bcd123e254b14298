package org.eelgrasspitch.request;

/**
 * Whether the policies that protect targets under overload and failure are in force.
 */
public enum Guards {

	/**
	 * The bounded queue in order of priority, the adaptive limit and the retry budget.
	 * The default.
	 */
	ALL("all"),

	/**
	 * An unbounded queue in order of deadline, a fixed limit, and retries that cost
	 * nothing. For comparison.
	 */
	NONE("none");

	private final String settingValue;

	Guards(String settingValue) {
		this.settingValue = settingValue;
	}

	@Override
	public String toString() {
		return this.settingValue;
	}

}
