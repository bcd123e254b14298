package org.eelgrasspitch.misc;

import java.util.List;
import java.util.Map;

/**
 * A JSON value that remembers where it started, so that problems found after parsing can
 * still name line and column. Jackson's own tree drops the positions.
 */
public sealed interface LocatedNode {

	/**
	 * Returns where the value starts.
	 * @return the position in the document
	 */
	Position position();

	/**
	 * A JSON object.
	 *
	 * @param position where it starts
	 * @param members its members in the order written
	 */
	record ObjectNode(Position position, Map<String, LocatedNode> members) implements LocatedNode {

	}

	/**
	 * A JSON array.
	 *
	 * @param position where it starts
	 * @param elements its elements in order
	 */
	record ArrayNode(Position position, List<LocatedNode> elements) implements LocatedNode {

	}

	/**
	 * A JSON string.
	 *
	 * @param position where it starts
	 * @param value the string
	 */
	record TextNode(Position position, String value) implements LocatedNode {

	}

	/**
	 * A JSON integer.
	 *
	 * @param position where it starts
	 * @param value the number
	 */
	record IntegerNode(Position position, long value) implements LocatedNode {

	}

	/**
	 * A JSON true or false.
	 *
	 * @param position where it starts
	 * @param value the truth value
	 */
	record BooleanNode(Position position, boolean value) implements LocatedNode {

	}

	/**
	 * A JSON null, or a number that is not an integer.
	 *
	 * @param position where it starts
	 * @param text the value as written
	 */
	record OtherNode(Position position, String text) implements LocatedNode {

	}

}
