package org.eelgrasspitch.testkit.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Runs a soak and prints what it found.
 */
public final class Soak {

	/** Number of violations of each rule that are printed in full. */
	private static final int PRINTED_PER_RULE = 25;

	private Soak() {
	}

	/**
	 * Runs a soak. Exits with code 1 if a rule was broken.
	 * @param arguments see {@link SoakOptions#parse}
	 * @throws IOException if the deployment cannot be started
	 */
	public static void main(String[] arguments) throws IOException {
		Result result = run(SoakOptions.parse(List.of(arguments)), System.out);
		System.exit((result.violations().isEmpty()) ? 0 : 1);
	}

	/**
	 * Runs a soak.
	 * @param options its options
	 * @param output where violations and counts are printed
	 * @return the result
	 * @throws IOException if the deployment cannot be started
	 */
	public static Result run(SoakOptions options, PrintStream output) throws IOException {
		Path directory = Files.createTempDirectory("soak-" + options.seed() + "-");
		output.println("seed " + options.seed() + ", " + options.seconds() + " s, without " + options.without()
				+ ", logs in " + directory);
		try (SoakWorld world = new SoakWorld(options, directory)) {
			// Node processes do not outlive an interrupted run.
			Runtime.getRuntime().addShutdownHook(new Thread(world::close));
			world.run();
			Judge judge = new Judge(world.evidence(), world.routes());
			Map<String, Integer> counts = new TreeMap<>();
			for (Judge.Violation violation : judge.judge()) {
				if (counts.merge(violation.rule(), 1, Integer::sum) <= PRINTED_PER_RULE) {
					output.println(violation.rule() + " (seed " + options.seed() + ") " + violation.what() + "\n"
							+ violation.record());
				}
			}
			judge.statistics().forEach((name, count) -> output.println(name + ": " + count));
			output.println("violations: " + counts);
			return new Result(counts, judge.statistics());
		}
	}

	/**
	 * Result of a soak.
	 *
	 * @param violations numbers of violations by rule; rules that were kept are absent
	 * @param statistics what was counted besides
	 */
	public record Result(Map<String, Integer> violations, Map<String, Integer> statistics) {

	}

}
