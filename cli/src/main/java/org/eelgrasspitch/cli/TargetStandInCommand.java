package org.eelgrasspitch.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.testkit.TargetStandIn;

/**
 * Runs the stand-in for a target.
 */
final class TargetStandInCommand implements Command {

	private static final int CRASH_EXIT_STATUS = 99;

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("target-stand-in").help("run a stand-in for a target (for tests)");
		parser.description("Example: eelgrasspitch target-stand-in --address 127.0.0.1:7403 --name renewals-1");
		parser.addArgument("--address").required(true).help("where to listen, IP:port");
		parser.addArgument("--name").required(true).help("name of the VM");
		parser.addArgument("--slots").type(Integer.class).setDefault(10).help("requests it works on at a time");
		parser.addArgument("--connections").type(Integer.class).setDefault(100).help("connections it accepts");
		parser.addArgument("--service-millis").type(Long.class).setDefault(5L).help("time that a request takes");
		parser.addArgument("--cold-millis").type(Long.class).setDefault(0L).help("time it takes to warm up");
	}

	@Override
	public int run(Namespace arguments) {
		TargetStandIn.Options options = new TargetStandIn.Options(arguments.getString("name"),
				Addresses.parse(arguments.getString("address")).orElseThrow(), arguments.getInt("slots"),
				arguments.getInt("connections"), arguments.getLong("service_millis"), arguments.getLong("cold_millis"),
				0);
		return Daemon.runUntilShutdown(new TargetStandIn(options, TargetStandIn.newExecutions(),
				() -> Runtime.getRuntime().halt(CRASH_EXIT_STATUS)));
	}

}
