package org.eelgrasspitch.misc;

/**
 * How serious a {@link Problem} is.
 */
public enum Severity {

	/** The input is usable; the operator should look at it. */
	WARNING,

	/** The input is refused as a whole. */
	ERROR

}
