package org.eelgrasspitch.cli;

/**
 * Exit codes of the command line.
 */
final class ExitCode {

	/** Success. */
	static final int OK = 0;

	/** The input has errors, or a check failed. */
	static final int FAILED = 1;

	/** The command line arguments are invalid. */
	static final int USAGE = 2;

	/** A node could not be reached, or a file or address could not be used. */
	static final int UNAVAILABLE = 3;

	/** The base of the new text is not the text in effect. */
	static final int RACE = 4;

	private ExitCode() {
	}

}
