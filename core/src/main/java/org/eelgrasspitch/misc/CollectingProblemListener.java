package org.eelgrasspitch.misc;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the reported problems up to {@link #MAX_PROBLEMS} and drops the rest, which
 * bounds memory use for an input that was crafted to cause very many.
 */
public final class CollectingProblemListener implements ProblemListener {

	/** Maximum number of problems collected for one input. */
	public static final int MAX_PROBLEMS = 200;

	/** Problems in the order reported; at most {@link #MAX_PROBLEMS}. */
	private final List<Problem> problems = new ArrayList<>();

	@Override
	public void report(Problem problem) {
		if (this.problems.size() < MAX_PROBLEMS) {
			this.problems.add(problem);
		}
	}

	/**
	 * Returns whether a collected problem has severity {@link Severity#ERROR}.
	 * @return true if the input must be rejected
	 */
	public boolean hasErrors() {
		return this.problems.stream().anyMatch((problem) -> problem.type().severity() == Severity.ERROR);
	}

	/**
	 * Returns the problems collected so far.
	 * @return an immutable copy in the order reported; empty if there are none
	 */
	public List<Problem> problems() {
		return List.copyOf(this.problems);
	}

}
