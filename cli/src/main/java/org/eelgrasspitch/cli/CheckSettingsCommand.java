package org.eelgrasspitch.cli;

import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.proxy.ProxySettings;
import org.eelgrasspitch.proxy.ProxySettingsParser;

/**
 * Checks a settings file of the streaming proxy with the parser that the proxy uses at
 * startup.
 */
final class CheckSettingsCommand implements Command {

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("check-settings").help("check a settings file of the streaming proxy");
		parser.description("Prints all problems. Exit code 0: usable; 1: the file has errors or cannot be read. "
				+ "Example: eelgrasspitch check-settings settings.json");
		parser.addArgument("file").help("settings file, JSON with comments");
	}

	@Override
	public int run(Namespace arguments) {
		Path file = Path.of(arguments.getString("file"));
		Either<List<Problem>, ProxySettings> settings = ProxySettingsParser.read(file);
		if (settings.isLeft()) {
			settings.getLeft().forEach((problem) -> System.out.println(file + ":" + problem));
			return ExitCode.FAILED;
		}
		System.out.println(file + ": usable, " + settings.get());
		return ExitCode.OK;
	}

}
