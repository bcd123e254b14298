package org.eelgrasspitch.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.testkit.Json;
import org.eelgrasspitch.text.DocumentParser;
import org.eelgrasspitch.text.ParsedDocument;
import org.eelgrasspitch.text.Snapshot;
import org.eelgrasspitch.text.TextDiff;

/**
 * Prints the changes of a new text and checks that its base is the text in force. If
 * another operator has published a text since, the base of the new text differs from the
 * digest of the text in force, and publishing the new text would undo that change.
 */
final class DiffCommand implements Command {

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("diff").help("show the changes of a new text and check its base");
		parser.description("Exit code 0: the new text is based on the text in force; 1: errors, or a file cannot be "
				+ "read; 4: another text was published since, or the new text names no base. "
				+ "Example: eelgrasspitch diff in-force.jsonc new.jsonc");
		parser.addArgument("before").help("the text in force, as the platform serves it");
		parser.addArgument("after").help("the text to publish");
		parser.addArgument("--json").action(Arguments.storeTrue()).help("print one JSON object");
	}

	@Override
	public int run(Namespace arguments) {
		Optional<ParsedDocument<Snapshot>> before = read(arguments.getString("before"));
		Optional<ParsedDocument<Snapshot>> after = read(arguments.getString("after"));
		if (before.isEmpty() || after.isEmpty()) {
			return ExitCode.FAILED;
		}
		Digest inForce = before.get().version().digest();
		Optional<Digest> base = after.get().value().text().base();
		boolean current = base.filter(inForce::equals).isPresent();
		List<String> changes = TextDiff.between(before.get().value().text(), after.get().value().text())
			.stream()
			.map(TextDiff.Change::toString)
			.toList();
		if (arguments.getBoolean("json")) {
			System.out.println(Json.write(new JsonReport(inForce.hex(), base.map(Digest::hex), current, changes)));
		}
		else {
			changes.forEach(System.out::println);
			System.out.println("digest of the text in force: " + inForce);
			System.out.println("base of the new text:        " + base.map(Digest::hex).orElse("none"));
			System.out.println(current ? "written against the text in force"
					: "NOT written against the text in force: publishing may undo another operator's change");
		}
		return current ? ExitCode.OK : ExitCode.RACE;
	}

	private static Optional<ParsedDocument<Snapshot>> read(String file) {
		try {
			Either<List<Problem>, ParsedDocument<Snapshot>> checked = DocumentParser.parseText(1,
					Files.readAllBytes(Path.of(file)));
			checked.peekLeft((problems) -> problems.forEach((problem) -> System.err.println(file + ":" + problem)));
			return checked.toJavaOptional();
		}
		catch (IOException ex) {
			System.err.println("cannot read " + file + ": " + ex);
			return Optional.empty();
		}
	}

	/**
	 * The JSON output.
	 *
	 * @param inForce digest of the text in force
	 * @param base digest that the new text names as its base; empty if it names none
	 * @param current true if both digests are equal
	 * @param changes descriptions of the changes; may be empty
	 */
	record JsonReport(String inForce, Optional<String> base, boolean current, List<String> changes) {

	}

}
