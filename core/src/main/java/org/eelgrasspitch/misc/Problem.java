package org.eelgrasspitch.misc;

import java.util.Arrays;
import java.util.List;

/**
 * One error or warning about an input, with its place.
 *
 * @param type what is wrong
 * @param position where the offending input starts
 * @param arguments values for the placeholders of {@link ErrorType#template()}, in order
 */
public record Problem(ErrorType type, Position position, List<String> arguments) {

	/**
	 * Creates a problem.
	 * @param type what is wrong
	 * @param position where the offending input starts
	 * @param arguments values for the template's placeholders
	 * @return the problem
	 */
	public static Problem of(ErrorType type, Position position, Object... arguments) {
		return new Problem(type, position, Arrays.stream(arguments).map(String::valueOf).toList());
	}

	/**
	 * Returns the filled message without code and place.
	 * @return one line of text
	 */
	public String message() {
		return String.format(this.type.template(), this.arguments.toArray());
	}

	@Override
	public String toString() {
		return this.position + ": " + EnumNames.lowerCase(this.type.severity()) + "(" + this.type.code() + "): "
				+ message();
	}

}
