package org.eelgrasspitch.text;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.eelgrasspitch.misc.CollectingProblemListener;
import org.eelgrasspitch.misc.ErrorType;
import org.eelgrasspitch.misc.LocatedNode;
import org.eelgrasspitch.misc.LocatedReader;
import org.eelgrasspitch.misc.Position;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.misc.ProblemListener;

/**
 * The one way from bytes to checked documents: read, parse, split, compile. Data passes
 * forward through the stages and nothing reaches back; each stage reports to the same
 * listener. Everything here is a pure function of the bytes.
 * <p>
 * Nodes use {@link #text} and {@link #vms} on what the platform served and
 * {@link #joined} on parts that other nodes served; the command line uses {@link #parse}.
 */
public final class TextTool {

	/** Longest document in bytes: the platform holds values up to a megabyte. */
	public static final int MAX_DOCUMENT_BYTES = 1_000_000;

	private TextTool() {
	}

	/**
	 * Parses a text and reports every problem.
	 * @param content the document, JSON with comments in UTF-8
	 * @param listener receives the problems
	 * @return the text, or empty when it could not be read at all; discard it when an
	 * error was reported
	 */
	public static Optional<MeshText> parse(byte[] content, ProblemListener listener) {
		return new LocatedReader(MAX_DOCUMENT_BYTES, listener).read(content).flatMap(new TextParser(listener)::parse);
	}

	/**
	 * Checks a text that the platform served.
	 * @param revision the platform's revision
	 * @param content the text
	 * @return the compiled text, or its problems
	 */
	public static Either<List<Problem>, Checked<Snapshot>> text(long revision, byte[] content) {
		return check(content, (root, listener) -> new TextParser(listener).parse(root)).map((text) -> {
			Document document = Document.of(Channel.TEXT, revision, DocumentSplitter.split(Channel.TEXT, content));
			return new Checked<>(document, new Snapshot(document.version(), text));
		});
	}

	/**
	 * Checks a VM list that the platform served.
	 * @param revision the platform's revision
	 * @param content the list
	 * @return the list, or its problems
	 */
	public static Either<List<Problem>, Checked<VmList>> vms(long revision, byte[] content) {
		return check(content, (root, listener) -> new VmListParser(listener).parse(root)).map((vms) -> {
			Document document = Document.of(Channel.VMS, revision, DocumentSplitter.split(Channel.VMS, content));
			return new Checked<>(document, vms);
		});
	}

	/**
	 * Joins the parts of a document that another node served, after checking every
	 * digest.
	 * @param document the document as received
	 * @return the whole document for {@link #text} or {@link #vms}, or its problems
	 */
	public static Either<List<Problem>, byte[]> joined(Document document) {
		for (Part part : document.parts()) {
			if (!part.isIntact()) {
				return Either.left(List.of(Problem.of(ErrorType.PART_MISMATCH, Position.UNKNOWN, part.name())));
			}
		}
		if (!document.isIntact()) {
			return Either.left(List.of(Problem.of(ErrorType.PART_MISMATCH, Position.UNKNOWN, "manifest")));
		}
		try {
			return Either.right(DocumentSplitter.join(document.channel(), document.parts()));
		}
		catch (IOException ex) {
			return Either.left(
					List.of(Problem.of(ErrorType.SYNTAX, Position.UNKNOWN, "a part is not JSON: " + ex.getMessage())));
		}
	}

	private static <T> Either<List<Problem>, T> check(byte[] content, Stage<T> stage) {
		CollectingProblemListener listener = new CollectingProblemListener();
		Optional<T> value = new LocatedReader(MAX_DOCUMENT_BYTES, listener).read(content)
			.flatMap((root) -> stage.parse(root, listener));
		if (value.isEmpty() || listener.hasErrors()) {
			return Either.left(listener.problems());
		}
		return Either.right(value.get());
	}

	/**
	 * Turns located JSON into a typed value.
	 *
	 * @param <T> type of the value
	 */
	@FunctionalInterface
	private interface Stage<T> {

		Optional<T> parse(LocatedNode root, ProblemListener listener);

	}

}
