package org.eelgrasspitch.cli;

/**
 * Exit codes of the command line.
 */
final class ExitCode {

	/** Everything is in order. */
	static final int OK = 0;

	/** The input has errors, or a promise did not hold. */
	static final int FAILED = 1;

	/** The arguments are wrong. */
	static final int USAGE = 2;

	/** Something needed could not be reached or read. */
	static final int UNAVAILABLE = 3;

	/** The new text was not written against the text in force. */
	static final int RACE = 4;

	private ExitCode() {
	}

}
