package org.eelgrasspitch.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * One command of the command line.
 */
interface Command {

	/**
	 * Adds the command's parser.
	 * @param parsers where to add it
	 */
	void register(Subparsers parsers);

	/**
	 * Runs the command.
	 * @param arguments the parsed arguments
	 * @return the exit code, see {@link ExitCode}
	 */
	int run(Namespace arguments);

}
