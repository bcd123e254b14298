package org.eelgrasspitch.misc;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Reads the members of one JSON object into typed values and reports each member that is
 * missing, unknown, of the wrong type or out of range. Reading goes on after a problem
 * with a harmless default, so that one pass reports every problem; the caller refuses the
 * whole document afterwards if its listener holds an error.
 */
public final class JsonObjectReader {

	/** The form of all names: 1 to 63 characters, as in a DNS label. */
	private static final Pattern NAME = Pattern.compile("[a-z][a-zA-Z0-9-]{0,62}");

	private static final InetSocketAddress UNSPECIFIED_ADDRESS = new InetSocketAddress(0);

	private final LocatedNode.ObjectNode object;

	private final ProblemListener listener;

	/** Names that were asked for so far, in alphabetical order. */
	private final TreeSet<String> requestedKeys = new TreeSet<>();

	/**
	 * Creates a reader for one object.
	 * @param object the object to read
	 * @param listener receives the problems
	 */
	public JsonObjectReader(LocatedNode.ObjectNode object, ProblemListener listener) {
		this.object = object;
		this.listener = listener;
	}

	/**
	 * Views a value as an object.
	 * @param description name of the value for the message
	 * @param node the value
	 * @param listener receives the problem when it is no object
	 * @return a reader, or empty after a problem was reported
	 */
	public static Optional<JsonObjectReader> of(String description, LocatedNode node, ProblemListener listener) {
		if (node instanceof LocatedNode.ObjectNode object) {
			return Optional.of(new JsonObjectReader(object, listener));
		}
		listener.report(Problem.of(ErrorType.WRONG_TYPE, node.position(), description, "an object"));
		return Optional.empty();
	}

	/**
	 * Returns where the object starts.
	 * @return the object's position
	 */
	public Position position() {
		return this.object.position();
	}

	/**
	 * Returns where a member's value starts.
	 * @param key the member's name
	 * @return the value's position, or the object's when the member is absent
	 */
	public Position position(String key) {
		LocatedNode node = this.object.members().get(key);
		return (node != null) ? node.position() : position();
	}

	/**
	 * Reads a required string.
	 * @param key the member's name
	 * @return the string, or the empty string after a problem was reported
	 */
	public String text(String key) {
		LocatedNode node = required(key);
		if (node == null) {
			return "";
		}
		if (node instanceof LocatedNode.TextNode text) {
			return text.value();
		}
		report(ErrorType.WRONG_TYPE, node.position(), key, "a string");
		return "";
	}

	/**
	 * Reads an optional string.
	 * @param key the member's name
	 * @return the string, or empty when the member is absent
	 */
	public Optional<String> optionalText(String key) {
		return has(key) ? Optional.of(text(key)) : Optional.empty();
	}

	/**
	 * Reads a required name.
	 * @param key the member's name
	 * @return the name; it matches the pattern of names unless a problem was reported
	 */
	public String name(String key) {
		String value = text(key);
		checkName(value, position(key));
		return value;
	}

	/**
	 * Reads a required socket address.
	 * @param key the member's name
	 * @return the address, or port 0 of any address after a problem was reported
	 */
	public InetSocketAddress address(String key) {
		String written = text(key);
		Optional<InetSocketAddress> address = Addresses.parse(written);
		if (address.isEmpty() && !written.isEmpty()) {
			report(ErrorType.BAD_ADDRESS, position(key), written);
		}
		return address.orElse(UNSPECIFIED_ADDRESS);
	}

	/**
	 * Reads a required integer.
	 * @param key the member's name
	 * @param min least value allowed
	 * @param max greatest value allowed
	 * @return the number, or {@code min} after a problem was reported
	 */
	public int integer(String key, int min, int max) {
		return (int) longInteger(key, min, max);
	}

	/**
	 * Reads an optional integer.
	 * @param key the member's name
	 * @param min least value allowed
	 * @param max greatest value allowed
	 * @param defaultValue value to use when the member is absent
	 * @return the number
	 */
	public int integer(String key, int min, int max, int defaultValue) {
		return has(key) ? integer(key, min, max) : defaultValue;
	}

	/**
	 * Reads a required whole number.
	 * @param key the member's name
	 * @param min least value allowed
	 * @param max greatest value allowed
	 * @return the number, or {@code min} after a problem was reported
	 */
	public long longInteger(String key, long min, long max) {
		LocatedNode node = required(key);
		if (node == null) {
			return min;
		}
		if (!(node instanceof LocatedNode.IntegerNode number)) {
			report(ErrorType.WRONG_TYPE, node.position(), key, "an integer");
			return min;
		}
		if (number.value() < min || number.value() > max) {
			report(ErrorType.OUT_OF_RANGE, node.position(), key, number.value(), min, max);
			return min;
		}
		return number.value();
	}

	/**
	 * Reads a required number, with or without a fraction.
	 * @param key the member's name
	 * @param min least value allowed
	 * @param max greatest value allowed
	 * @return the number, or {@code min} after a problem was reported
	 */
	public double number(String key, double min, double max) {
		LocatedNode node = required(key);
		if (node == null) {
			return min;
		}
		double value = switch (node) {
			case LocatedNode.IntegerNode number -> number.value();
			case LocatedNode.OtherNode other -> decimal(other.text());
			default -> Double.NaN;
		};
		if (Double.isNaN(value)) {
			report(ErrorType.WRONG_TYPE, node.position(), key, "a number");
			return min;
		}
		if (value < min || value > max) {
			report(ErrorType.OUT_OF_RANGE, node.position(), key, value, min, max);
			return min;
		}
		return value;
	}

	private static double decimal(String text) {
		try {
			return Double.parseDouble(text);
		}
		catch (NumberFormatException ex) {
			return Double.NaN;
		}
	}

	/**
	 * Reads an optional truth value.
	 * @param key the member's name
	 * @param defaultValue value to use when the member is absent
	 * @return the truth value
	 */
	public boolean flag(String key, boolean defaultValue) {
		if (!has(key)) {
			return defaultValue;
		}
		LocatedNode node = this.object.members().get(key);
		if (node instanceof LocatedNode.BooleanNode flag) {
			return flag.value();
		}
		report(ErrorType.WRONG_TYPE, node.position(), key, "true or false");
		return defaultValue;
	}

	/**
	 * Reads a required word of a fixed set.
	 * @param <V> type of the words
	 * @param key the member's name
	 * @param allowed the allowed words; their {@code toString} is how they are written
	 * @return the word, or the first one after a problem was reported
	 */
	public <V> V oneOf(String key, List<V> allowed) {
		String written = text(key);
		for (V value : allowed) {
			if (value.toString().equals(written)) {
				return value;
			}
		}
		if (has(key)) {
			report(ErrorType.UNKNOWN_WORD, position(key), written, key, join(allowed));
		}
		return allowed.get(0);
	}

	/**
	 * Reads an optional word of a fixed set.
	 * @param <V> type of the words
	 * @param key the member's name
	 * @param allowed the allowed words; their {@code toString} is how they are written
	 * @param defaultValue what counts when the member is absent
	 * @return the word, or the first one after a problem was reported
	 */
	public <V> V oneOf(String key, List<V> allowed, V defaultValue) {
		return has(key) ? oneOf(key, allowed) : defaultValue;
	}

	/**
	 * Reads a required list.
	 * @param key the member's name
	 * @param min fewest entries allowed
	 * @param max most entries allowed
	 * @return the entries, or an empty list after a problem was reported
	 */
	public List<LocatedNode> list(String key, int min, int max) {
		LocatedNode node = required(key);
		if (node == null) {
			return List.of();
		}
		if (!(node instanceof LocatedNode.ArrayNode array)) {
			report(ErrorType.WRONG_TYPE, node.position(), key, "a list");
			return List.of();
		}
		int size = array.elements().size();
		if (size < min || size > max) {
			report(ErrorType.BAD_COUNT, node.position(), key, size, min, max);
			return List.of();
		}
		return array.elements();
	}

	/**
	 * Reads an optional list of strings.
	 * @param key the member's name
	 * @param max most entries allowed
	 * @return the strings with their positions; empty when the member is absent
	 */
	public List<LocatedNode.TextNode> texts(String key, int max) {
		if (!has(key)) {
			return List.of();
		}
		List<LocatedNode.TextNode> texts = new ArrayList<>();
		for (LocatedNode element : list(key, 0, max)) {
			if (element instanceof LocatedNode.TextNode text) {
				texts.add(text);
				continue;
			}
			report(ErrorType.WRONG_TYPE, element.position(), key, "a list of strings");
		}
		return texts;
	}

	/**
	 * Reads a required object.
	 * @param key the member's name
	 * @return a reader for it, or empty after a problem was reported
	 */
	public Optional<JsonObjectReader> object(String key) {
		LocatedNode node = required(key);
		return (node != null) ? of(key, node, this.listener) : Optional.empty();
	}

	/**
	 * Views an element of a list as an object.
	 * @param key the list's name
	 * @param element the element
	 * @return a reader for it, or empty after a problem was reported
	 */
	public Optional<JsonObjectReader> element(String key, LocatedNode element) {
		return of("an element of \"" + key + "\"", element, this.listener);
	}

	/**
	 * Checks the form of a name.
	 * @param value the name
	 * @param position where it stands
	 */
	public void checkName(String value, Position position) {
		if (!value.isEmpty() && !NAME.matcher(value).matches()) {
			report(ErrorType.BAD_NAME, position, value);
		}
	}

	/**
	 * Tells whether a member is present, and marks its name as known.
	 * @param key the member's name
	 * @return true when the object has it
	 */
	public boolean has(String key) {
		this.requestedKeys.add(key);
		return this.object.members().containsKey(key);
	}

	/**
	 * Reports every member whose name was not asked for. To be called last.
	 */
	public void rejectUnknownKeys() {
		this.object.members().forEach((key, node) -> {
			if (!this.requestedKeys.contains(key)) {
				report(ErrorType.UNKNOWN_KEY, node.position(), key, String.join(", ", this.requestedKeys));
			}
		});
	}

	/**
	 * Reports a problem to this reader's listener.
	 * @param type what is wrong
	 * @param position where
	 * @param arguments values for the message
	 */
	public void report(ErrorType type, Position position, Object... arguments) {
		this.listener.report(Problem.of(type, position, arguments));
	}

	private LocatedNode required(String key) {
		if (has(key)) {
			return this.object.members().get(key);
		}
		report(ErrorType.MISSING_KEY, position(), key);
		return null;
	}

	private static String join(Collection<?> values) {
		return String.join(", ", values.stream().map(Object::toString).toList());
	}

}
