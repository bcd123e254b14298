package org.eelgrasspitch.proxy;

import java.util.function.UnaryOperator;

import org.eelgrasspitch.mesh.TargetStatement;

/**
 * Reads what a target states about itself from the header fields of its response.
 *
 * @param names names of the fields
 */
record StatementReader(HeaderNames names) {

	private static final String LEAVING_VALUE = "1";

	/**
	 * Reads a statement.
	 * @param header returns the value of a field by its name; null if it is absent
	 * @param served whether the target served the request
	 * @return the statement
	 */
	TargetStatement read(UnaryOperator<String> header, boolean served) {
		String leaving = header.apply(this.names.targetLeaving());
		return TargetStatement.of(header.apply(this.names.targetLimit()),
				leaving != null && LEAVING_VALUE.equals(leaving.trim()), served);
	}

}
