package org.eelgrasspitch.proxy;

/**
 * Published document. Its ordinal is sent on links, so the order of constants is fixed.
 */
public enum SourceChannel {

	/** Configuration written by operators. */
	CONFIG,

	/** Entries that targets publish about themselves. */
	TARGETS

}
