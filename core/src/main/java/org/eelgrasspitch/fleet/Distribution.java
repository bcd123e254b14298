package org.eelgrasspitch.fleet;

/**
 * Strategies for distributing documents to all nodes.
 */
public enum Distribution {

	/**
	 * Readers watch the platform; other nodes pull deltas of the parts that changed. The
	 * default.
	 */
	DELTAS("deltas"),

	/**
	 * Readers watch the platform; other nodes pull changed parts in full. For comparison.
	 */
	PARTS("parts"),

	/** Readers watch the platform; other nodes pull whole documents. For comparison. */
	WHOLE("whole"),

	/** Every node watches the platform directly. For comparison. */
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
