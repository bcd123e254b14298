package org.eelgrasspitch.text;

/**
 * The documents that the platform publishes. Each has its own sequence of revisions.
 */
public enum Channel {

	/** The operators' text. */
	TEXT,

	/** The list of VMs. */
	VMS

}
