package org.eelgrasspitch.proxy;

/**
 * The published documents.
 */
public enum SourceChannel {

	/** The operators' configuration. */
	CONFIG,

	/** The targets' own entries. */
	TARGETS

}
