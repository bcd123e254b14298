package org.eelgrasspitch.misc;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;

import io.vavr.control.Either;

/**
 * Reads whole documents, JSON with comments in UTF-8, into typed values. A document with
 * any problem is refused, with all its problems.
 */
public final class DocumentReader {

	private DocumentReader() {
	}

	/**
	 * Reads a document.
	 * @param <T> type of the value
	 * @param content the document
	 * @param maxBytes greatest length allowed
	 * @param converter turns its root into the value and reports problems
	 * @return the value, or every problem found
	 */
	public static <T> Either<List<Problem>, T> read(byte[] content, int maxBytes,
			BiFunction<LocatedNode, ProblemListener, Optional<T>> converter) {
		CollectingProblemListener listener = new CollectingProblemListener();
		Optional<T> value = new LocatedNodeReader(maxBytes, listener).read(content)
			.flatMap((root) -> converter.apply(root, listener));
		if (value.isEmpty() || listener.hasErrors()) {
			return Either.left(listener.problems());
		}
		return Either.right(value.get());
	}

	/**
	 * Reads a document whose root is an object.
	 * @param <T> type of the value
	 * @param documentName name of the document for messages
	 * @param content the document
	 * @param maxBytes greatest length allowed
	 * @param reader reads the members and reports problems
	 * @return the value, or every problem found
	 */
	public static <T> Either<List<Problem>, T> readObject(String documentName, byte[] content, int maxBytes,
			Function<JsonObjectReader, T> reader) {
		return read(content, maxBytes,
				(root, listener) -> JsonObjectReader.of(documentName, root, listener).map(reader));
	}

	/**
	 * Reads a file.
	 * @param <T> type of the value
	 * @param file the file
	 * @param parser reads its content
	 * @return the value, or every problem found
	 */
	public static <T> Either<List<Problem>, T> readFile(Path file, Function<byte[], Either<List<Problem>, T>> parser) {
		try {
			return parser.apply(Files.readAllBytes(file));
		}
		catch (IOException ex) {
			return Either
				.left(List.of(Problem.of(ErrorType.UNREADABLE, Position.UNKNOWN, file, ex.getClass().getSimpleName())));
		}
	}

}
