package org.eelgrasspitch.cli;

import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Explains the outcome of a request from the decision logs of nodes of the streaming
 * proxy.
 */
final class ExplainCommand implements Command {

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("explain").help("explain the outcome of a request from logs");
		parser.description(
				"Reads decision logs of one or more nodes of the streaming proxy and lists the decisions about one "
						+ "request. Exit code 0: found; 1: no log contains it; 3: a file cannot be read. "
						+ "Example: eelgrasspitch explain 9c41d07be2a35f68 a.log b.log");
		parser.addArgument("--json").action(Arguments.storeTrue()).help("print one JSON object instead of text");
		parser.addArgument("request").help("the caller's identifier of the request");
		parser.addArgument("logs").nargs("+").help("log files");
	}

	@Override
	public int run(Namespace arguments) {
		Explanation explanation = new Explanation(arguments.getString("request"));
		List<String> files = arguments.getList("logs");
		for (String file : files) {
			try {
				read(Path.of(file), explanation);
			}
			catch (IOException ex) {
				System.err.println("cannot read " + file + ": " + ex);
				return ExitCode.UNAVAILABLE;
			}
		}
		if (arguments.getBoolean("json")) {
			System.out.println(explanation.toJson());
		}
		else {
			explanation.toLines().forEach(System.out::println);
		}
		return explanation.isFound() ? ExitCode.OK : ExitCode.FAILED;
	}

	private static void read(Path file, Explanation explanation) throws IOException {
		List<String> lines;
		try {
			lines = Files.readAllLines(file);
		}
		catch (MalformedInputException ex) {
			// A log may be truncated within a multi-byte character.
			// ISO 8859-1 decodes any sequence of bytes.
			lines = Files.readAllLines(file, StandardCharsets.ISO_8859_1);
		}
		for (int i = 0; i < lines.size(); i++) {
			explanation.add(file + ":" + (i + 1), lines.get(i));
		}
	}

}
