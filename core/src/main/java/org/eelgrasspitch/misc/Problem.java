package org.eelgrasspitch.misc;

import java.util.Arrays;
import java.util.List;

/**
 * An error or warning about an input.
 *
 * @param type the error type
 * @param position start of the offending input, or {@link Position#UNKNOWN}
 * @param arguments values of the placeholders of {@link ErrorType#template()}, in order
 */
public record Problem(ErrorType type, Position position, List<String> arguments) {

	/**
	 * Creates a problem.
	 * @param type the error type
	 * @param position start of the offending input, or {@link Position#UNKNOWN}
	 * @param arguments values of the placeholders; converted to strings
	 * @return the problem
	 */
	public static Problem of(ErrorType type, Position position, Object... arguments) {
		return new Problem(type, position, Arrays.stream(arguments).map(String::valueOf).toList());
	}

	/**
	 * Returns the message without severity, code and position.
	 * @return the template with its placeholders filled in
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
