package org.eelgrasspitch.cli;

/**
 * Exit codes of the command line.
 */
final class ExitCode {

	/** Success. */
	static final int OK = 0;

	/**
	 * The input has errors, a check failed, or the requested result was not found or
	 * reached. The commands check-settings, diff and node also return it for a file that
	 * cannot be read.
	 */
	static final int FAILED = 1;

	/** The command line arguments are invalid. */
	static final int USAGE = 2;

	/**
	 * A node did not answer, an address could not be bound, or a file could not be read
	 * or written.
	 */
	static final int UNAVAILABLE = 3;

	/** The new text names no base, or its base is not the text in force. */
	static final int RACE = 4;

	private ExitCode() {
	}

}
