package org.eelgrasspitch.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * A subcommand of the command line.
 */
interface Command {

	/**
	 * Adds the argument parser of this command.
	 * @param parsers the parsers of all commands
	 */
	void register(Subparsers parsers);

	/**
	 * Runs the command.
	 * @param arguments the parsed arguments
	 * @return the exit code, see {@link ExitCode}
	 */
	int run(Namespace arguments);

}
