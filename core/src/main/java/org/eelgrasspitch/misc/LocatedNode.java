package org.eelgrasspitch.misc;

import java.util.List;
import java.util.Map;

/**
 * A JSON value with its position in the document, so that problems found after parsing
 * can be reported with line and column. Jackson's tree model does not keep positions.
 */
public sealed interface LocatedNode {

	/**
	 * Returns the position of the first character of the value.
	 * @return the position in the document
	 */
	Position position();

	/**
	 * A JSON object.
	 *
	 * @param position position of the first character
	 * @param members the members by name, in document order
	 */
	record ObjectNode(Position position, Map<String, LocatedNode> members) implements LocatedNode {

	}

	/**
	 * A JSON array.
	 *
	 * @param position position of the first character
	 * @param elements the elements in document order
	 */
	record ArrayNode(Position position, List<LocatedNode> elements) implements LocatedNode {

	}

	/**
	 * A JSON string.
	 *
	 * @param position position of the first character
	 * @param value the string without its quotes, with escape sequences decoded
	 */
	record TextNode(Position position, String value) implements LocatedNode {

	}

	/**
	 * A JSON integer in the range of {@code long}.
	 *
	 * @param position position of the first character
	 * @param value the integer
	 */
	record IntegerNode(Position position, long value) implements LocatedNode {

	}

	/**
	 * A JSON boolean.
	 *
	 * @param position position of the first character
	 * @param value the boolean
	 */
	record BooleanNode(Position position, boolean value) implements LocatedNode {

	}

	/**
	 * A JSON null, a number with a fraction or an exponent, or an integer out of the
	 * range of {@code long}.
	 *
	 * @param position position of the first character
	 * @param text the value as it appears in the document
	 */
	record OtherNode(Position position, String text) implements LocatedNode {

	}

}
