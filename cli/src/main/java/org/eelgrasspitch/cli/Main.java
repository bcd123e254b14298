package org.eelgrasspitch.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Entry point of the command line.
 */
public final class Main {

	private static final String COMMAND_KEY = "command";

	private Main() {
	}

	/**
	 * Runs one command and terminates the process with its exit code. Exceptions are
	 * handled as in {@link #run(String...)}.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(run(arguments));
	}

	/**
	 * Runs one command. Exceptions of the command are not caught, such as
	 * {@link java.io.UncheckedIOException} and {@link IllegalArgumentException} for a
	 * deployment that cannot be read or whose settings files have errors.
	 * @param arguments the command line
	 * @return the exit code, see {@link ExitCode}
	 */
	public static int run(String... arguments) {
		Map<String, Command> commands = commands();
		ArgumentParser parser = ArgumentParsers.newFor("eelgrasspitch")
			.build()
			.defaultHelp(true)
			.description("Distributes configuration for a service mesh and routes its requests.");
		Subparsers parsers = parser.addSubparsers().title("commands").dest(COMMAND_KEY).metavar("COMMAND");
		commands.values().forEach((command) -> command.register(parsers));
		try {
			Namespace parsed = parser.parseArgs(arguments);
			return commands.get(parsed.getString(COMMAND_KEY)).run(parsed);
		}
		catch (ArgumentParserException ex) {
			parser.handleError(ex);
			boolean helpRequested = List.of(arguments).contains("--help") || List.of(arguments).contains("-h");
			return helpRequested ? ExitCode.OK : ExitCode.USAGE;
		}
	}

	private static Map<String, Command> commands() {
		Map<String, Command> commands = new LinkedHashMap<>();
		commands.put("check", new CheckCommand());
		commands.put("diff", new DiffCommand());
		commands.put("status", new StatusCommand());
		commands.put("wait", new WaitCommand());
		commands.put("report", new ReportCommand());
		commands.put("explain", new ExplainCommand());
		commands.put("beliefs", new BeliefsCommand());
		commands.put("check-settings", new CheckSettingsCommand());
		commands.put("node", new NodeCommand());
		commands.put("demo", new DemoCommand());
		commands.put("measure", new MeasureCommand());
		commands.put("self-check", new SelfCheckCommand());
		commands.put("platform-stand-in", new PlatformStandInCommand());
		commands.put("target-stand-in", new TargetStandInCommand());
		return commands;
	}

}
