package org.eelgrasspitch.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.testkit.TargetStandIn;

/**
 * Runs a stand-in for a target until the process is terminated.
 */
final class TargetStandInCommand implements Command {

	/** Exit status of the process after a simulated crash. */
	private static final int CRASH_EXIT_STATUS = 99;

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("target-stand-in").help("run a stand-in for a target (for tests)");
		parser.description("Example: eelgrasspitch target-stand-in --address 127.0.0.1:7403 --name renewals-1");
		parser.addArgument("--address").required(true).help("address to listen on, IP:port");
		parser.addArgument("--name").required(true).help("name of the VM");
		parser.addArgument("--slots").type(Integer.class).setDefault(10).help("maximum number of concurrent requests");
		parser.addArgument("--connections").type(Integer.class).setDefault(100).help("maximum number of connections");
		parser.addArgument("--service-millis")
			.type(Long.class)
			.setDefault(5L)
			.help("processing time of a request, in milliseconds");
		parser.addArgument("--cold-millis")
			.type(Long.class)
			.setDefault(0L)
			.help("warm-up time during which requests take longer, in milliseconds");
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
