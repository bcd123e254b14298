package org.eelgrasspitch.misc;

/**
 * Receives every problem found in an input. A parser reports to one listener and goes on,
 * so that one run finds all problems.
 */
@FunctionalInterface
public interface ProblemListener {

	/**
	 * Called once for each problem, in the order found.
	 * @param problem the problem
	 */
	void report(Problem problem);

}
