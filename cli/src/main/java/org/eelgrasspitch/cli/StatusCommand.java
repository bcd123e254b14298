package org.eelgrasspitch.cli;

import java.net.InetSocketAddress;
import java.util.Optional;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.node.StatusReport;
import org.eelgrasspitch.testkit.Json;

/**
 * Prints the lifecycle state, reader role and configuration revision of nodes.
 */
final class StatusCommand implements Command {

	private static final String ROW = "%-20s %-14s %-11s %-10s %9s %9s %9s %9s %9s%n";

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("status").help("show the state and configuration revision of nodes");
		parser
			.description("Exit code 0: every node answered; 3: some did not. floor: highest revision known to be held "
					+ "by any node, 0 if unknown; rejected: revision of the latest rejected text, 0 if none; age ms: age of "
					+ "the evidence that the text is current, negative if there is no fresh evidence. "
					+ "Example: eelgrasspitch status --operators 10.0.0.7:7402");
		OperatorClient.addArguments(parser);
		parser.addArgument("--json").action(Arguments.storeTrue()).help("print one JSON object per node");
	}

	@Override
	public int run(Namespace arguments) {
		boolean json = arguments.getBoolean("json");
		boolean complete = true;
		try (OperatorClient client = OperatorClient.fromArguments(arguments)) {
			if (!json) {
				System.out.printf(ROW, "vm", "failure domain", "state", "role", "revision", "floor", "rejected",
						"age ms", "in flight");
			}
			for (InetSocketAddress address : client.addresses()) {
				Optional<StatusReport> status = client.status(address);
				complete &= status.isPresent();
				print(address, status, json);
			}
		}
		return complete ? ExitCode.OK : ExitCode.UNAVAILABLE;
	}

	private static void print(InetSocketAddress address, Optional<StatusReport> status, boolean json) {
		if (status.isEmpty()) {
			System.out.println(json ? Json.write(new UnreachableNode(Addresses.format(address)))
					: Addresses.format(address) + " does not answer");
			return;
		}
		StatusReport report = status.get();
		if (json) {
			System.out.println(Json.write(report));
			return;
		}
		System.out.printf(ROW, report.vm(), report.failureDomain(), report.state(), report.role(), report.revision(),
				report.floor(), report.rejectedRevision(), report.evidenceAgeMillis(), report.inFlight());
	}

	/**
	 * JSON output for a node that does not answer.
	 *
	 * @param unreachable address of its operators' port
	 */
	record UnreachableNode(String unreachable) {

	}

}
