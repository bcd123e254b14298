package org.eelgrasspitch.proxy;

import java.util.OptionalDouble;

import org.eelgrasspitch.mesh.TargetStatement;

/**
 * Reads what a target states about itself from the header fields of its answer.
 */
final class StatementReader {

	private static final String LEAVING_VALUE = "1";

	private StatementReader() {
	}

	/**
	 * Reads a statement.
	 * @param limit value of the field that names a limit; null if it is absent
	 * @param leaving value of the field that announces the end; null if it is absent
	 * @param served whether the target served the request; the absence of a limit from
	 * another answer means nothing
	 * @return the statement; a limit that is not a number of 0 or more is ignored
	 */
	static TargetStatement read(String limit, String leaving, boolean served) {
		return new TargetStatement(parseLimit(limit), leaving != null && LEAVING_VALUE.equals(leaving.trim()),
				served && limit == null);
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
