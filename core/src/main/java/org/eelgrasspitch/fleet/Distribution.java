package org.eelgrasspitch.fleet;

/**
 * Ways to bring documents to all nodes.
 */
public enum Distribution {

	/**
	 * Readers watch the platform; others pull the changes of the parts that changed. The
	 * default.
	 */
	DELTAS("deltas"),

	/** Readers watch the platform; others pull parts that changed. For comparison. */
	PARTS("parts"),

	/** Readers watch the platform; others pull whole documents. For comparison. */
	WHOLE("whole"),

	/** Every node watches the platform itself. For comparison. */
	POLL("poll");

	private final String settingValue;

	Distribution(String settingValue) {
		this.settingValue = settingValue;
	}

	@Override
	public String toString() {
		return this.settingValue;
	}

}
