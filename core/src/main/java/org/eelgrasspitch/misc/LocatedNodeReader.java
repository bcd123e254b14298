package org.eelgrasspitch.misc;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;

/**
 * Parses JSON with comments and trailing commas into {@link LocatedNode}s. The size is
 * checked before parsing and the nesting depth during parsing, so that a malicious
 * document uses a bounded amount of memory.
 */
public final class LocatedNodeReader {

	/** Maximum nesting depth; the root value has depth 1. */
	public static final int MAX_DEPTH = 32;

	/** Start of the message that Jackson reports for a truncated document. */
	private static final String END_OF_INPUT = "Unexpected end-of-input";

	/**
	 * Jackson's limit on the nesting depth is above {@link #MAX_DEPTH}, so that
	 * {@code readValue} reports {@link ErrorType#TOO_DEEP} before Jackson reports a
	 * syntax error.
	 */
	private static final JsonFactory FACTORY = new JsonFactoryBuilder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
		.streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH * 2).build())
		.build();

	private final int maxBytes;

	private final ProblemListener listener;

	/**
	 * Creates a reader.
	 * @param maxBytes maximum length of a document in bytes
	 * @param listener receives syntax problems
	 */
	public LocatedNodeReader(int maxBytes, ProblemListener listener) {
		this.maxBytes = maxBytes;
		this.listener = listener;
	}

	/**
	 * Parses one document.
	 * @param content the document in UTF-8
	 * @return the root value, or empty if the document could not be parsed and a problem
	 * was reported. A duplicate key is reported, but parsing continues and the first
	 * value is kept.
	 */
	public Optional<LocatedNode> read(byte[] content) {
		if (content.length > this.maxBytes) {
			report(ErrorType.TOO_LARGE, Position.UNKNOWN, content.length, this.maxBytes);
			return Optional.empty();
		}
		try (JsonParser parser = FACTORY.createParser(content)) {
			return readDocument(parser);
		}
		catch (JsonProcessingException ex) {
			reportSyntax(ex);
		}
		catch (IOException ex) {
			report(ErrorType.SYNTAX, Position.UNKNOWN, firstLine(ex.getMessage()));
		}
		return Optional.empty();
	}

	private void reportSyntax(JsonProcessingException cause) {
		String message = firstLine(cause.getOriginalMessage());
		if (message.startsWith(END_OF_INPUT)) {
			report(ErrorType.TRUNCATED, position(cause.getLocation()));
			return;
		}
		report(ErrorType.SYNTAX, position(cause.getLocation()), message);
	}

	private Optional<LocatedNode> readDocument(JsonParser parser) throws IOException {
		if (parser.nextToken() == null) {
			report(ErrorType.TRUNCATED, position(parser.currentLocation()));
			return Optional.empty();
		}
		Optional<LocatedNode> root = readValue(parser, 1);
		if (root.isPresent() && parser.nextToken() != null) {
			report(ErrorType.SYNTAX, position(parser.currentTokenLocation()),
					"unexpected content after the end of the document");
			return Optional.empty();
		}
		return root;
	}

	private Optional<LocatedNode> readValue(JsonParser parser, int depth) throws IOException {
		Position position = position(parser.currentTokenLocation());
		if (depth > MAX_DEPTH) {
			report(ErrorType.TOO_DEEP, position, MAX_DEPTH);
			return Optional.empty();
		}
		return switch (parser.currentToken()) {
			case START_OBJECT -> readObject(parser, position, depth);
			case START_ARRAY -> readArray(parser, position, depth);
			case VALUE_STRING -> Optional.of(new LocatedNode.TextNode(position, parser.getText()));
			case VALUE_TRUE, VALUE_FALSE ->
				Optional.of(new LocatedNode.BooleanNode(position, parser.getBooleanValue()));
			case VALUE_NUMBER_INT -> Optional.of(readInteger(parser, position));
			default -> Optional.of(new LocatedNode.OtherNode(position, parser.getText()));
		};
	}

	private LocatedNode readInteger(JsonParser parser, Position position) throws IOException {
		if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
			return new LocatedNode.OtherNode(position, parser.getText());
		}
		return new LocatedNode.IntegerNode(position, parser.getLongValue());
	}

	private Optional<LocatedNode> readObject(JsonParser parser, Position position, int depth) throws IOException {
		Map<String, LocatedNode> members = new LinkedHashMap<>();
		while (parser.nextToken() != JsonToken.END_OBJECT) {
			String name = parser.currentName();
			Position namePosition = position(parser.currentTokenLocation());
			parser.nextToken();
			Optional<LocatedNode> value = readValue(parser, depth + 1);
			if (value.isEmpty()) {
				return Optional.empty();
			}
			if (members.putIfAbsent(name, value.get()) != null) {
				report(ErrorType.DUPLICATE_KEY, namePosition, name);
			}
		}
		return Optional.of(new LocatedNode.ObjectNode(position, members));
	}

	private Optional<LocatedNode> readArray(JsonParser parser, Position position, int depth) throws IOException {
		List<LocatedNode> elements = new ArrayList<>();
		while (parser.nextToken() != JsonToken.END_ARRAY) {
			Optional<LocatedNode> element = readValue(parser, depth + 1);
			if (element.isEmpty()) {
				return Optional.empty();
			}
			elements.add(element.get());
		}
		return Optional.of(new LocatedNode.ArrayNode(position, elements));
	}

	private void report(ErrorType type, Position position, Object... arguments) {
		this.listener.report(Problem.of(type, position, arguments));
	}

	private static String firstLine(String message) {
		if (message == null) {
			return "no details available";
		}
		int end = message.indexOf('\n');
		return (end < 0) ? message : message.substring(0, end);
	}

	private static Position position(JsonLocation location) {
		if (location == null) {
			return Position.UNKNOWN;
		}
		return new Position(location.getLineNr(), location.getColumnNr());
	}

}
