package org.eelgrasspitch.misc;

/**
 * Receives the problems found in an input. A parser continues after it has reported a
 * problem, so that one pass finds all of them.
 */
@FunctionalInterface
public interface ProblemListener {

	/**
	 * Called once per problem, in the order of detection.
	 * @param problem the problem
	 */
	void report(Problem problem);

}
