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
 * Reads documents (JSON with comments, in UTF-8) into typed values. A document with an
 * error is rejected as a whole, and its problems are returned, at most
 * {@link CollectingProblemListener#MAX_PROBLEMS}.
 */
public final class DocumentReader {

	private DocumentReader() {
	}

	/**
	 * Reads a document.
	 * @param <T> the value type
	 * @param content the document
	 * @param maxBytes maximum length in bytes
	 * @param converter converts the root node into the value and reports problems
	 * @return the value, or the problems found
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
	 * @param <T> the value type
	 * @param documentName name of the document in messages
	 * @param content the document
	 * @param maxBytes maximum length in bytes
	 * @param reader converts the members of the root into the value and reports problems
	 * @return the value, or the problems found
	 */
	public static <T> Either<List<Problem>, T> readObject(String documentName, byte[] content, int maxBytes,
			Function<JsonObjectReader, T> reader) {
		return read(content, maxBytes,
				(root, listener) -> JsonObjectReader.of(documentName, root, listener).map(reader));
	}

	/**
	 * Reads a file. An I/O error is returned as {@link ErrorType#UNREADABLE}.
	 * @param <T> the value type
	 * @param file the file
	 * @param parser parses the content of the file
	 * @return the value, or the problems found
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
