package org.eelgrasspitch.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eelgrasspitch.testkit.SelfCheck;

/**
 * Checks that this machine can run the system: starts a node and stand-ins for the
 * platform and a target in one process and sends one request.
 */
final class SelfCheckCommand implements Command {

	@Override
	public void register(Subparsers parsers) {
		parsers.addParser("self-check")
			.help("run a node and stand-ins for the platform and a target in one process and send one request")
			.description("Exit code 0: the request was answered; 1: it was not. Example: eelgrasspitch self-check");
	}

	@Override
	public int run(Namespace arguments) {
		boolean answered = SelfCheck.run();
		System.out.println(answered ? "self-check passed" : "self-check failed");
		return answered ? ExitCode.OK : ExitCode.FAILED;
	}

}
