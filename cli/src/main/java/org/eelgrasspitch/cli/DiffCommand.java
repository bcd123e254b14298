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
 * Shows what a new text changes, and whether it was written against the text in force.
 * When another operator has published in between, the new text's base is not the digest
 * of the text in force, and publishing it would undo that operator's change.
 */
final class DiffCommand implements Command {

	@Override
	public void register(Subparsers parsers) {
		Subparser parser = parsers.addParser("diff").help("show what a new text changes, and against which base");
		parser.description("Exit code 0: written against the text in force; 1: errors; 3: unreadable; 4: another text "
				+ "was published since, or the new text names no base. "
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
	 * The result as programs read it.
	 *
	 * @param inForce digest of the text in force
	 * @param base the new text's base; empty when it names none
	 * @param current true when both are equal
	 * @param changes one line for each change
	 */
	record JsonReport(String inForce, Optional<String> base, boolean current, List<String> changes) {

	}

}
