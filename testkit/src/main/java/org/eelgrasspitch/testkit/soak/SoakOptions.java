package org.eelgrasspitch.testkit.soak;

import java.util.List;
import java.util.Set;

/**
 * Options of a soak.
 *
 * @param seed seed of the choices of callers, targets and faults
 * @param seconds duration, in seconds
 * @param classPath class path of the node program
 * @param without which faults are left out: {@code once} (no answer is written twice),
 * {@code uncut} (no second answer is cut in its head) and {@code steady} (no node is
 * killed, stopped or paused)
 */
public record SoakOptions(long seed, int seconds, String classPath, Set<String> without) {

	/**
	 * Reads the options from a command line.
	 * @param arguments seed, seconds, class path of the node, and the faults that are
	 * left out
	 * @return the options
	 * @throws IllegalArgumentException if fewer than three arguments are given or one is
	 * unknown
	 */
	public static SoakOptions parse(List<String> arguments) {
		if (arguments.size() < 3) {
			throw new IllegalArgumentException("usage: SEED SECONDS NODE_CLASS_PATH [once] [uncut] [steady]");
		}
		List<String> words = arguments.subList(3, arguments.size());
		if (!List.of("once", "uncut", "steady").containsAll(words)) {
			throw new IllegalArgumentException("unknown option in " + words);
		}
		return new SoakOptions(Long.parseLong(arguments.get(0)), Integer.parseInt(arguments.get(1)), arguments.get(2),
				Set.copyOf(words));
	}

	boolean restarts() {
		return !this.without.contains("steady");
	}

	boolean leavesOut(Plan.Copy copy) {
		boolean cut = copy == Plan.Copy.CUT_CLOSE || copy == Plan.Copy.CUT_NEXT;
		return this.without.contains("once") || cut && this.without.contains("uncut");
	}

}
