package org.eelgrasspitch.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.node.ObjectiveCounts;
import org.eelgrasspitch.request.BurnRateMeter;
import org.eelgrasspitch.testkit.Json;

/**
 * Prints the burn rates of error budgets. For each operation, the report contains the
 * objective, the numbers of good and bad requests of the last hour, the burn rates over
 * the last 5 minutes and the last hour, and the remaining share of the hour's error
 * budget. Counts are summed over all nodes that answer.
 */
final class ReportCommand implements Command {

	private static final String ROW = "%-32s %9s %10s %8s %11s %11s %10s%n";

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("report").help("report the burn rates of error budgets");
		parser.description("Exit code 0: every node answered; 3: some did not, and are not in the report, or the HTML "
				+ "file cannot be written. "
				+ "Example: eelgrasspitch report --deployment examples/ulaanbaatar --html burn.html");
		OperatorClient.addArguments(parser);
		parser.addArgument("--html").help("also write the report as an HTML page with bars to this file");
		parser.addArgument("--json").action(Arguments.storeTrue()).help("print one JSON object per operation");
	}

	@Override
	public int run(Namespace arguments) {
		Map<String, OperationBurnRate> burnRates = new TreeMap<>();
		boolean complete = true;
		try (OperatorClient client = OperatorClient.fromArguments(arguments)) {
			for (InetSocketAddress address : client.addresses()) {
				Optional<ObjectiveCounts[]> rows = client.burnRates(address);
				complete &= rows.isPresent();
				if (rows.isEmpty()) {
					System.err.println(Addresses.format(address) + " does not answer");
				}
				for (ObjectiveCounts row : rows.orElse(new ObjectiveCounts[0])) {
					burnRates.merge(row.service() + "/" + row.operation(), OperationBurnRate.of(row),
							OperationBurnRate::plus);
				}
			}
		}
		List<OperationBurnRate> sorted = new ArrayList<>(burnRates.values());
		print(sorted, arguments.getBoolean("json"));
		String html = arguments.getString("html");
		if (html != null && !write(Path.of(html), sorted)) {
			return ExitCode.UNAVAILABLE;
		}
		return complete ? ExitCode.OK : ExitCode.UNAVAILABLE;
	}

	private static void print(List<OperationBurnRate> burnRates, boolean json) {
		if (json) {
			burnRates.forEach((burnRate) -> System.out.println(Json.write(burnRate)));
			return;
		}
		System.out.printf(ROW, "operation", "objective", "good 1h", "bad 1h", "burn 5 min", "burn 1 h", "budget 1h");
		for (OperationBurnRate burnRate : burnRates) {
			System.out.printf(ROW, burnRate.operation(), burnRate.objectivePerMille() / 10.0 + "%",
					burnRate.hour().good(), burnRate.hour().bad(), "%.2f".formatted(burnRate.shortRate()),
					"%.2f".formatted(burnRate.longRate()), "%.0f%%".formatted(100 * burnRate.budgetLeft()));
		}
	}

	private static boolean write(Path file, List<OperationBurnRate> burnRates) {
		try {
			Files.writeString(file, BurnRatePage.render(burnRates));
			return true;
		}
		catch (IOException ex) {
			System.err.println("cannot write " + file + ": " + ex);
			return false;
		}
	}

	/**
	 * Requests and burn rates of one operation, summed over all nodes that answer.
	 *
	 * @param operation names of the service and the operation, separated by a slash
	 * @param objectivePerMille share of requests that must be good, per mille; the
	 * highest one if nodes differ
	 * @param minutes numbers of requests in the last 5 minutes
	 * @param hour numbers of requests in the last hour
	 */
	record OperationBurnRate(String operation, int objectivePerMille, BurnRateMeter.Counts minutes,
			BurnRateMeter.Counts hour) {

		static OperationBurnRate of(ObjectiveCounts row) {
			return new OperationBurnRate(row.service() + "/" + row.operation(), row.objectivePerMille(),
					new BurnRateMeter.Counts(row.shortGood(), row.shortBad()),
					new BurnRateMeter.Counts(row.longGood(), row.longBad()));
		}

		OperationBurnRate plus(OperationBurnRate other) {
			return new OperationBurnRate(this.operation, Math.max(this.objectivePerMille, other.objectivePerMille),
					this.minutes.plus(other.minutes), this.hour.plus(other.hour));
		}

		double shortRate() {
			return this.minutes.burnRate(this.objectivePerMille);
		}

		double longRate() {
			return this.hour.burnRate(this.objectivePerMille);
		}

		/**
		 * Returns the remaining share of the hour's error budget, from 0 to 1.
		 */
		double budgetLeft() {
			return Math.max(0, 1 - longRate());
		}

	}

}
