package org.eelgrasspitch.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.Supplier;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.request.Guards;
import org.eelgrasspitch.testkit.ConfigMeasurement;
import org.eelgrasspitch.testkit.Json;
import org.eelgrasspitch.testkit.OverloadMeasurement;
import org.eelgrasspitch.testkit.RequestMeasurement;

/**
 * Measures configuration changes, requests or overload with node processes on this
 * machine.
 */
final class MeasureCommand implements Command {

	/**
	 * Second octet of the loopback addresses of the first measurement. Each further one
	 * uses the next octet, so that their addresses do not collide.
	 */
	private static final int BASE_SECOND_OCTET = 202;

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("measure").help("measure configuration changes, requests or overload");
		parser.description("Runs real node processes on loopback addresses. Prints a table, or JSON lines with --json. "
				+ "Example: eelgrasspitch measure --nodes 12 24 --distribution parts whole poll");
		parser.addArgument("subject")
			.nargs("?")
			.choices("config", "requests", "overload")
			.setDefault("config")
			.help("configuration changes, the latency that nodes add to requests, or a load of twice the capacity");
		parser.addArgument("--calls")
			.type(Integer.class)
			.nargs("+")
			.setDefault(List.of(67, 670))
			.help("calls per second on each of the two paths of a measurement of requests: through nodes, and directly "
					+ "to the target");
		parser.addArgument("--seconds")
			.type(Integer.class)
			.setDefault(20)
			.help("duration of a measurement of requests, and of the warm-up before it, in seconds");
		parser.addArgument("--guards")
			.nargs("+")
			.choices("all", "none")
			.setDefault(List.of("all", "none"))
			.help("with or without the policies against overload");
		parser.addArgument("--nodes")
			.type(Integer.class)
			.nargs("*")
			.setDefault(List.of(12, 24))
			.help("numbers of nodes");
		parser.addArgument("--distribution")
			.nargs("+")
			.choices("deltas", "parts", "whole", "poll")
			.setDefault(List.of("deltas"))
			.help("deltas, changed parts, whole documents, or every node polling the platform");
		parser.addArgument("--deployment")
			.nargs("+")
			.setDefault(List.of())
			.help("directories of deployments to measure unchanged, in addition to --nodes");
		parser.addArgument("--failure-domains").type(Integer.class).setDefault(3).help("number of failure domains");
		parser.addArgument("--services").type(Integer.class).setDefault(26).help("number of services");
		parser.addArgument("--operations")
			.type(Integer.class)
			.setDefault(60)
			.help("additional operations of each service");
		parser.addArgument("--name-length")
			.type(Integer.class)
			.setDefault(40)
			.help("length of the names of these operations, to make the text longer");
		parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON lines");
	}

	@Override
	public int run(Namespace arguments) {
		return switch (arguments.getString("subject")) {
			case "requests" -> measureRequests(arguments);
			case "overload" -> measureOverload(arguments);
			default -> measureConfig(arguments);
		};
	}

	private static int measureRequests(Namespace arguments) {
		int seconds = arguments.getInt("seconds");
		List<Supplier<RequestMeasurement.Result>> measurements = new ArrayList<>();
		for (Integer calls : arguments.<Integer>getList("calls")) {
			RequestMeasurement.Plan plan = new RequestMeasurement.Plan(calls, seconds, seconds,
					BASE_SECOND_OCTET + measurements.size());
			measurements.add(() -> RequestMeasurement.run(plan, createTempDirectory(), System.err));
		}
		return runAndPrint(arguments, measurements, RequestMeasurement.Result.heading(),
				RequestMeasurement.Result::row);
	}

	private static int measureOverload(Namespace arguments) {
		List<Supplier<OverloadMeasurement.Result>> measurements = new ArrayList<>();
		for (String name : arguments.<String>getList("guards")) {
			Guards guards = Guards.valueOf(name.toUpperCase(Locale.ROOT));
			int secondOctet = BASE_SECOND_OCTET + measurements.size();
			measurements.add(() -> OverloadMeasurement.run(guards, secondOctet, createTempDirectory(), System.err));
		}
		return runAndPrint(arguments, measurements, OverloadMeasurement.Result.heading(),
				OverloadMeasurement.Result::rows);
	}

	private static int measureConfig(Namespace arguments) {
		List<Supplier<ConfigMeasurement.Result>> measurements = new ArrayList<>();
		for (String deployment : arguments.<String>getList("deployment")) {
			measurements.add(() -> ConfigMeasurement.run(Path.of(deployment), createTempDirectory(), System.err));
		}
		int secondOctet = BASE_SECOND_OCTET;
		for (Integer nodes : arguments.<Integer>getList("nodes")) {
			for (String distribution : arguments.<String>getList("distribution")) {
				ConfigMeasurement.Plan plan = new ConfigMeasurement.Plan(nodes, arguments.getInt("failure_domains"),
						arguments.getInt("services"), arguments.getInt("operations"), arguments.getInt("name_length"),
						Distribution.valueOf(distribution.toUpperCase(Locale.ROOT)), secondOctet++);
				measurements.add(() -> ConfigMeasurement.run(plan, createTempDirectory(), System.err));
			}
		}
		return runAndPrint(arguments, measurements, ConfigMeasurement.Result.heading(), ConfigMeasurement.Result::row);
	}

	/**
	 * Runs measurements and prints their results: with {@code --json}, one JSON line
	 * after each measurement; otherwise a table at the end.
	 */
	private static <R> int runAndPrint(Namespace arguments, List<Supplier<R>> measurements, String heading,
			Function<R, String> row) {
		boolean json = arguments.getBoolean("json");
		List<R> results = new ArrayList<>();
		for (Supplier<R> measurement : measurements) {
			R result = measurement.get();
			results.add(result);
			if (json) {
				System.out.println(Json.write(result));
			}
		}
		if (!json) {
			System.out.println(heading);
			results.forEach((result) -> System.out.println(row.apply(result)));
		}
		return ExitCode.OK;
	}

	private static Path createTempDirectory() {
		try {
			return Files.createTempDirectory("eelgrasspitch-measure");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
