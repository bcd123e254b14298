package org.eelgrasspitch.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eelgrasspitch.misc.CollectingProblemListener;
import org.eelgrasspitch.misc.EnumNames;
import org.eelgrasspitch.misc.Hints;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.testkit.Json;
import org.eelgrasspitch.text.DocumentParser;

/**
 * Checks a configuration text and prints every problem with its position and code.
 */
final class CheckCommand implements Command {

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("check").help("check a configuration text before publishing it");
		parser.description("Checks a configuration text and prints all problems. Exit code 0: acceptable; 1: errors; "
				+ "3: the file cannot be read. Example: eelgrasspitch check examples/ulaanbaatar/text.jsonc");
		parser.addArgument("file").help("file with the configuration text");
		parser.addArgument("--json").action(Arguments.storeTrue()).help("print one JSON object per problem");
	}

	@Override
	public int run(Namespace arguments) {
		Path file = Path.of(arguments.getString("file"));
		CollectingProblemListener listener = new CollectingProblemListener();
		byte[] content;
		try {
			content = Files.readAllBytes(file);
			DocumentParser.parseText(content, listener);
		}
		catch (IOException ex) {
			System.err.println("cannot read " + file + ": " + ex);
			return ExitCode.UNAVAILABLE;
		}
		for (Problem problem : listener.problems()) {
			System.out
				.println(arguments.getBoolean("json") ? Json.write(JsonProblem.of(problem)) : format(file, problem));
		}
		if (listener.hasErrors()) {
			return ExitCode.FAILED;
		}
		if (!arguments.getBoolean("json")) {
			System.out.println(file + ": acceptable, digest " + digest(content));
		}
		return ExitCode.OK;
	}

	private static String format(Path file, Problem problem) {
		String hint = Hints.of(problem.type());
		return file + ":" + problem + (hint.isEmpty() ? "" : System.lineSeparator() + "  hint: " + hint);
	}

	private static String digest(byte[] content) {
		return DocumentParser.parseText(1, content).map((checked) -> checked.version().digest().hex()).getOrElse("");
	}

	/**
	 * A problem in the JSON output.
	 *
	 * @param line line number, from 1; 0 if unknown
	 * @param column column number in UTF-8 bytes, from 1; 0 if unknown
	 * @param code error code
	 * @param severity severity in lower case
	 * @param message error message
	 * @param hint suggested correction; empty if the message is sufficient
	 */
	record JsonProblem(int line, int column, int code, String severity, String message, String hint) {

		static JsonProblem of(Problem problem) {
			return new JsonProblem(problem.position().line(), problem.position().column(), problem.type().code(),
					EnumNames.lowerCase(problem.type().severity()), problem.message(), Hints.of(problem.type()));
		}

	}

}
