package org.eelgrasspitch.request;

/**
 * Which policies that protect targets from overload and retry storms are enabled.
 */
public enum Guards {

	/**
	 * A bounded queue ordered by priority, an adaptive concurrency limit and a retry
	 * budget. The default.
	 */
	ALL("all"),

	/**
	 * An unbounded queue ordered by deadline, a fixed concurrency limit and no retry
	 * budget. A baseline for measurements.
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
