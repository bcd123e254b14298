package org.eelgrasspitch.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.testkit.PlatformStandIn;

/**
 * Runs a stand-in for the platform until the process is terminated.
 */
final class PlatformStandInCommand implements Command {

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("platform-stand-in").help("run a stand-in for the platform (for tests)");
		parser.description("Example: eelgrasspitch platform-stand-in --address 127.0.0.1:7000");
		parser.addArgument("--address").required(true).help("address to listen on, IP:port");
	}

	@Override
	public int run(Namespace arguments) {
		return Daemon
			.runUntilShutdown(new PlatformStandIn(Addresses.parse(arguments.getString("address")).orElseThrow()));
	}

}
