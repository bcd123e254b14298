package org.eelgrasspitch.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eelgrasspitch.testkit.Demo;

/**
 * Runs a demonstration deployment on this machine and checks its behavior.
 */
final class DemoCommand implements Command {

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("demo").help("run a whole deployment on this machine and check it");
		parser.description("Starts nodes and stand-ins for the platform and the targets as processes on loopback "
				+ "addresses, drives callers, changes the configuration and prints the measurements. Exit code 0: every "
				+ "check passed; 1: a check failed. Example: eelgrasspitch demo --deployment examples/muscat");
		parser.addArgument("--deployment").setDefault("examples/ulaanbaatar").help("directory of the deployment");
		parser.addArgument("--logs")
			.help("directory for the output of the processes; a temporary directory by default");
	}

	@Override
	public int run(Namespace arguments) {
		try {
			String logs = arguments.getString("logs");
			Path directory = (logs != null) ? Files.createDirectories(Path.of(logs))
					: Files.createTempDirectory("eelgrasspitch-demo");
			System.out.println("logs in " + directory);
			boolean passed = Demo.run(Path.of(arguments.getString("deployment")), directory, System.out);
			return passed ? ExitCode.OK : ExitCode.FAILED;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
