package org.eelgrasspitch.misc;

import java.util.ArrayList;
import java.util.List;

/**
 * Keeps the first problems that are reported, up to a limit that guards against an input
 * made to produce very many.
 */
public final class CollectingProblemListener implements ProblemListener {

	/** Most problems kept of one input. */
	public static final int MAX_PROBLEMS = 200;

	/** Problems in the order found; never more than {@link #MAX_PROBLEMS}. */
	private final List<Problem> problems = new ArrayList<>();

	@Override
	public void report(Problem problem) {
		if (this.problems.size() < MAX_PROBLEMS) {
			this.problems.add(problem);
		}
	}

	/**
	 * Tells whether any problem of severity {@link Severity#ERROR} was reported.
	 * @return true when the input must be refused
	 */
	public boolean hasErrors() {
		return this.problems.stream().anyMatch((problem) -> problem.type().severity() == Severity.ERROR);
	}

	/**
	 * Returns the problems kept so far.
	 * @return an immutable copy, in the order found
	 */
	public List<Problem> problems() {
		return List.copyOf(this.problems);
	}

}
