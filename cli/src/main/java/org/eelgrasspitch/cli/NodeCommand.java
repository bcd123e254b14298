package org.eelgrasspitch.cli;

import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.node.Node;
import org.eelgrasspitch.node.NodeSettings;
import org.eelgrasspitch.node.SettingsParser;

/**
 * Runs a node until the process is terminated. A shutdown hook drains it first.
 */
final class NodeCommand implements Command {

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("node").help("run a node");
		parser.description(
				"Runs the node of one VM. On SIGTERM it finishes requests in flight for at most drainMillis. Exit "
						+ "code 1: the settings have errors or cannot be read; 3: an address cannot be bound. "
						+ "Example: eelgrasspitch node --settings examples/ulaanbaatar/nodes/renewals-1.jsonc");
		parser.addArgument("--settings").required(true).help("settings file of the node");
		parser.addArgument("--check-settings")
			.action(Arguments.storeTrue())
			.help("only check the settings and print all problems");
	}

	@Override
	public int run(Namespace arguments) {
		Path file = Path.of(arguments.getString("settings"));
		Either<List<Problem>, NodeSettings> settings = SettingsParser.read(file);
		if (settings.isLeft()) {
			settings.getLeft().forEach((problem) -> System.err.println(file + ":" + problem));
			return ExitCode.FAILED;
		}
		if (arguments.getBoolean("check_settings")) {
			System.out.println(file + ": acceptable");
			return ExitCode.OK;
		}
		return runNode(settings.get());
	}

	private static int runNode(NodeSettings settings) {
		try {
			Node node = Node.start(settings);
			Runtime.getRuntime().addShutdownHook(new Thread(node::leave, "leave"));
		}
		catch (IllegalStateException ex) {
			System.err.println(ex.getMessage());
			return ExitCode.UNAVAILABLE;
		}
		return Daemon.awaitShutdown();
	}

}
