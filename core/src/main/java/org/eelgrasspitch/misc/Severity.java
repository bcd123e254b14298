package org.eelgrasspitch.misc;

/**
 * Severity of a {@link Problem}.
 */
public enum Severity {

	/** The input is accepted but should be reviewed by an operator. */
	WARNING,

	/** The input is rejected as a whole. */
	ERROR

}
