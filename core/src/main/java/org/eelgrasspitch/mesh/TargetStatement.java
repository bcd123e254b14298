package org.eelgrasspitch.mesh;

import java.util.OptionalDouble;

/**
 * What one answer of a target states about the target itself.
 *
 * @param limitPerSecond number of requests that it takes per second from all nodes
 * together, 0 or more; empty if the answer names no limit
 * @param leaving whether it is about to stop
 * @param complete whether an answer without a limit means that the target has none; false
 * if it names a malformed one or does not come from a request that was served
 */
public record TargetStatement(OptionalDouble limitPerSecond, boolean leaving, boolean complete) {

	/**
	 * Reads a statement from the header fields of an answer.
	 * @param limit value of the field that names a limit, a decimal number; null if it is
	 * absent. A value that is not a number of 0 or more is ignored and ends no earlier
	 * limit
	 * @param leaving whether the answer says that the target is about to stop
	 * @param served whether the target served the request; the absence of a limit from
	 * another answer means nothing
	 * @return the statement
	 */
	public static TargetStatement of(String limit, boolean leaving, boolean served) {
		return new TargetStatement(parseLimit(limit), leaving, served && limit == null);
	}

	private static OptionalDouble parseLimit(String text) {
		if (text == null) {
			return OptionalDouble.empty();
		}
		try {
			double limit = Double.parseDouble(text);
			return (limit >= 0 && Double.isFinite(limit)) ? OptionalDouble.of(limit) : OptionalDouble.empty();
		}
		catch (NumberFormatException ex) {
			// The statement is incomplete, so that an earlier limit stays in force.
			return OptionalDouble.empty();
		}
	}

}
