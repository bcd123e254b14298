package org.eelgrasspitch.misc;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Reads the members of a JSON object as typed values and reports members that are
 * missing, unknown, of the wrong type or out of range. After a problem each method
 * returns a placeholder value, so that one pass reports all problems; the code that uses
 * this reader must reject the whole document if its listener received an error.
 */
public final class JsonObjectReader {

	/** Names have 1 to 63 characters, like a DNS label. */
	private static final Pattern NAME = Pattern.compile("[a-z][a-zA-Z0-9-]{0,62}");

	private static final InetSocketAddress PLACEHOLDER_ADDRESS = new InetSocketAddress(0);

	private final LocatedNode.ObjectNode object;

	private final ProblemListener listener;

	/** Keys requested so far, in alphabetical order; every other key is unknown. */
	private final TreeSet<String> requestedKeys = new TreeSet<>();

	/**
	 * Creates a reader for an object.
	 * @param object the object to read
	 * @param listener receives the problems
	 */
	public JsonObjectReader(LocatedNode.ObjectNode object, ProblemListener listener) {
		this.object = object;
		this.listener = listener;
	}

	/**
	 * Creates a reader for a value that must be an object.
	 * @param description name of the value in the message
	 * @param node the value
	 * @param listener receives the problems
	 * @return the reader, or empty if the value is not an object and a problem was
	 * reported
	 */
	public static Optional<JsonObjectReader> of(String description, LocatedNode node, ProblemListener listener) {
		if (node instanceof LocatedNode.ObjectNode object) {
			return Optional.of(new JsonObjectReader(object, listener));
		}
		listener.report(Problem.of(ErrorType.WRONG_TYPE, node.position(), description, "an object"));
		return Optional.empty();
	}

	/**
	 * Returns the position of the object.
	 * @return the position of its first character
	 */
	public Position position() {
		return this.object.position();
	}

	/**
	 * Returns the position of the value of a member.
	 * @param key the member name
	 * @return the position of the value, or of the object if the member is absent
	 */
	public Position position(String key) {
		LocatedNode node = this.object.members().get(key);
		return (node != null) ? node.position() : position();
	}

	/**
	 * Reads a required string.
	 * @param key the member name
	 * @return the string, or the empty string if a problem was reported
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
	 * @param key the member name
	 * @return the string, or empty if the member is absent; the empty string if a problem
	 * was reported
	 */
	public Optional<String> optionalText(String key) {
		return has(key) ? Optional.of(text(key)) : Optional.empty();
	}

	/**
	 * Reads a required name: a lower-case letter, then up to 62 letters, digits or
	 * hyphens.
	 * @param key the member name
	 * @return the name, or the empty string if it is missing or not a string; an invalid
	 * name is reported and returned; an empty string in the document is returned without
	 * a report
	 */
	public String name(String key) {
		String value = text(key);
		checkName(value, position(key));
		return value;
	}

	/**
	 * Reads a required socket address of the form {@code IP:port}.
	 * @param key the member name
	 * @return the address, or the wildcard address with port 0 if the string is empty or
	 * a problem was reported
	 */
	public InetSocketAddress address(String key) {
		String written = text(key);
		Optional<InetSocketAddress> address = Addresses.parse(written);
		if (address.isEmpty() && !written.isEmpty()) {
			report(ErrorType.BAD_ADDRESS, position(key), written);
		}
		return address.orElse(PLACEHOLDER_ADDRESS);
	}

	/**
	 * Reads a required integer in the range of {@code int}.
	 * @param key the member name
	 * @param min minimum value, inclusive
	 * @param max maximum value, inclusive
	 * @return the number, or {@code min} if a problem was reported
	 */
	public int integer(String key, int min, int max) {
		return (int) longInteger(key, min, max);
	}

	/**
	 * Reads an optional integer in the range of {@code int}.
	 * @param key the member name
	 * @param min minimum value, inclusive
	 * @param max maximum value, inclusive
	 * @param defaultValue value to return if the member is absent
	 * @return the number, or {@code min} if a problem was reported
	 */
	public int integer(String key, int min, int max, int defaultValue) {
		return has(key) ? integer(key, min, max) : defaultValue;
	}

	/**
	 * Reads a required integer in the range of {@code long}.
	 * @param key the member name
	 * @param min minimum value, inclusive
	 * @param max maximum value, inclusive
	 * @return the number, or {@code min} if a problem was reported
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
	 * Reads a required number, which may have a fraction.
	 * @param key the member name
	 * @param min minimum value, inclusive
	 * @param max maximum value, inclusive
	 * @return the number, or {@code min} if a problem was reported
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
	 * Reads an optional boolean.
	 * @param key the member name
	 * @param defaultValue value to return if the member is absent
	 * @return the boolean, or {@code defaultValue} if a problem was reported
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
	 * Reads a required string that must be one of a fixed set of values.
	 * @param <V> the value type
	 * @param key the member name
	 * @param allowed the allowed values; their {@code toString} is the text form
	 * @return the value, or the first allowed value if a problem was reported
	 */
	public <V> V oneOf(String key, List<V> allowed) {
		String written = text(key);
		for (V value : allowed) {
			if (value.toString().equals(written)) {
				return value;
			}
		}
		if (has(key)) {
			report(ErrorType.VALUE_NOT_ALLOWED, position(key), written, key, join(allowed));
		}
		return allowed.get(0);
	}

	/**
	 * Reads an optional string that must be one of a fixed set of values.
	 * @param <V> the value type
	 * @param key the member name
	 * @param allowed the allowed values; their {@code toString} is the text form
	 * @param defaultValue value to return if the member is absent
	 * @return the value, or the first allowed value if a problem was reported
	 */
	public <V> V oneOf(String key, List<V> allowed, V defaultValue) {
		return has(key) ? oneOf(key, allowed) : defaultValue;
	}

	/**
	 * Reads a required array.
	 * @param key the member name
	 * @param min minimum number of elements
	 * @param max maximum number of elements
	 * @return the elements, or an empty list if a problem was reported
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
	 * Reads an optional array of strings.
	 * @param key the member name
	 * @param max maximum number of elements
	 * @return the strings with their positions; empty if the member is absent, is not an
	 * array or has too many elements. Elements that are not strings are reported and
	 * omitted.
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
	 * @param key the member name
	 * @return a reader for the object, or empty if a problem was reported
	 */
	public Optional<JsonObjectReader> object(String key) {
		LocatedNode node = required(key);
		return (node != null) ? of(key, node, this.listener) : Optional.empty();
	}

	/**
	 * Creates a reader for an array element that must be an object.
	 * @param key the name of the member that holds the array
	 * @param element the element
	 * @return a reader for the object, or empty if a problem was reported
	 */
	public Optional<JsonObjectReader> element(String key, LocatedNode element) {
		return of("an element of \"" + key + "\"", element, this.listener);
	}

	/**
	 * Reports a name with invalid syntax. The empty string is not reported, because it is
	 * the placeholder for a value that was reported already; so an empty string in the
	 * document is not reported either.
	 * @param value the name
	 * @param position position of the name
	 */
	public void checkName(String value, Position position) {
		if (!value.isEmpty() && !NAME.matcher(value).matches()) {
			report(ErrorType.BAD_NAME, position, value);
		}
	}

	/**
	 * Returns whether a member is present, and marks its key as requested.
	 * @param key the member name
	 * @return true if the object has the member
	 */
	public boolean has(String key) {
		this.requestedKeys.add(key);
		return this.object.members().containsKey(key);
	}

	/**
	 * Reports every member that no previous call has requested. Must be called after all
	 * members have been read.
	 */
	public void rejectUnknownKeys() {
		this.object.members().forEach((key, node) -> {
			if (!this.requestedKeys.contains(key)) {
				report(ErrorType.UNKNOWN_KEY, node.position(), key, String.join(", ", this.requestedKeys));
			}
		});
	}

	/**
	 * Reports a problem to the listener of this reader.
	 * @param type the error type
	 * @param position start of the offending input
	 * @param arguments values of the placeholders of the message template
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
