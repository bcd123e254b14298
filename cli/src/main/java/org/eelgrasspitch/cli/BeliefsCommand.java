package org.eelgrasspitch.cli;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.proxy.NodeStateReport;
import org.eelgrasspitch.testkit.HttpCaller;
import org.eelgrasspitch.testkit.Json;

/**
 * Prints the state of nodes of the streaming proxy: configuration, known targets, links
 * and retry budgets.
 */
final class BeliefsCommand implements Command {

	/**
	 * Timeout of a request to a node. It is long enough for an overloaded node, and for a
	 * busy machine on which this process has just started.
	 */
	private static final long TIMEOUT_MILLIS = 10_000;

	private static final String ROW = "  %-16s %-14s %-10s %7s %7s %5s %7s  %s%n";

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("beliefs").help("print the state of nodes of the streaming proxy");
		parser.description("Queries nodes at their metrics addresses. Exit code 0: every node answered; 2: an address "
				+ "is invalid; 3: some did not answer. Example: eelgrasspitch beliefs 10.1.0.8:9464");
		parser.addArgument("nodes").nargs("+").help("metrics addresses, IP:port");
		parser.addArgument("--json").action(Arguments.storeTrue()).help("print one JSON object per node");
	}

	@Override
	public int run(Namespace arguments) {
		boolean complete = true;
		try (HttpCaller caller = new HttpCaller(TIMEOUT_MILLIS)) {
			for (String argument : arguments.<String>getList("nodes")) {
				Optional<InetSocketAddress> address = Addresses.parse(argument);
				if (address.isEmpty()) {
					System.err.println(argument + " is not a valid address, IP:port");
					return ExitCode.USAGE;
				}
				Optional<NodeStateReport> report = caller.read(address.get(), "/beliefs", NodeStateReport.class);
				complete &= report.isPresent();
				report.ifPresentOrElse((nodeReport) -> print(nodeReport, arguments.getBoolean("json")),
						() -> System.err.println(argument + " does not answer"));
			}
		}
		return complete ? ExitCode.OK : ExitCode.UNAVAILABLE;
	}

	private static void print(NodeStateReport report, boolean json) {
		if (json) {
			System.out.println(Json.write(report));
			return;
		}
		System.out.printf(
				"%s (%s): configuration %d, changed %d ms ago; targets of revision %d, changed %d ms ago; "
						+ "source %s; %d links%n",
				report.vm(), report.failureDomain(), report.configVersion(), report.configAgeMillis(),
				report.targetsRevision(), report.targetsAgeMillis(), report.sourceLost() ? "lost" : "answers",
				report.links());
		System.out.printf(ROW, "target", "service", "state", "running", "waiting", "slots", "age ms", "because");
		report.targets()
			.forEach((target) -> System.out.printf(ROW, target.id(), target.service(), target.state(), target.running(),
					target.waiting(), target.slots(), (target.ageMillis() < 0) ? "-" : target.ageMillis(),
					target.reason()));
		List<String> budgets = report.budgets()
			.stream()
			.map((budget) -> budget.service() + " " + budget.repeatsLeft())
			.toList();
		System.out.println("  repeats left: " + String.join(", ", budgets));
	}

}
