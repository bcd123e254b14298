package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a request by the time in which each candidate would answer.
 * <p>
 * The expected time is the home's own estimate of its queue, plus what this entry has
 * sent there since, plus the service time, which is longer on a target that is still cold
 * or that fails part of its requests. Targets of the entry's own failure domain are
 * preferred while one of them would answer well within the objective, since traffic
 * between failure domains is paid for; otherwise a far one is taken if it is much faster.
 * <p>
 * Load pattern answered: the targets of one failure domain are slow or overloaded while
 * others have room. With the rule of least requests in flight, a slow target gets as many
 * requests as a quick one and its queue grows; with strict preference for the own failure
 * domain the others stay idle. Of many candidates only {@link #SAMPLE} on each side,
 * drawn at random, are compared, so that not every entry runs to the same best target
 * between two reports.
 */
public final class Placement {

	/** Candidates compared on each side; more gains little over the power of two. */
	private static final int SAMPLE = 4;

	/** Share of the objective within which a near target counts as good enough. */
	private static final double NEAR_SHARE = 0.5;

	/**
	 * Share of a near target's expected time that a far one must undercut. When every
	 * failure domain is overloaded, the far ones are hardly better, and sending requests
	 * back and forth helps no caller.
	 */
	private static final double FAR_GAIN = 0.5;

	/** Failure share, in percent, from which a near target is no longer preferred. */
	private static final int NEAR_FAILURE_PERCENT = 12;

	/** Service time assumed before the first answer, in milliseconds. */
	private static final double UNKNOWN_SERVICE_MILLIS = 50;

	/** How much slower a cold target is; servers of the platform's kind take twice. */
	private static final double COLD_FACTOR = 2;

	/** Never divide by less than this share of successes. */
	private static final double LEAST_SUCCESS = 0.05;

	private final RandomGenerator random;

	/**
	 * Creates a placement.
	 * @param random source of randomness
	 */
	public Placement(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Chooses a target.
	 * @param candidates targets that may be used; those that are down or leaving are
	 * passed over
	 * @param objectiveMillis time left until the answer is late; 0 or less when it
	 * already is
	 * @return the choice, or empty when no candidate takes requests
	 */
	public Optional<Candidate> choose(List<Candidate> candidates, long objectiveMillis) {
		List<Candidate> up = candidates.stream().filter(Candidate::isUp).toList();
		Candidate near = best(up.stream().filter(Candidate::near).toList());
		boolean sound = near != null && near.load().failurePercent() < NEAR_FAILURE_PERCENT;
		if (sound && expectedMillis(near) <= NEAR_SHARE * objectiveMillis) {
			return Optional.of(near);
		}
		Candidate far = best(up.stream().filter((candidate) -> !candidate.near()).toList());
		if (near == null || far == null) {
			return Optional.ofNullable((near != null) ? near : far);
		}
		double bound = (sound ? FAR_GAIN : 1) * expectedMillis(near);
		return Optional.of((expectedMillis(far) < bound) ? far : near);
	}

	/**
	 * Estimates when a candidate would answer.
	 * @param candidate the candidate
	 * @return the expected time in milliseconds
	 */
	public static double expectedMillis(Candidate candidate) {
		HomeLoad load = candidate.load();
		double typical = (load.serviceMillis() > 0) ? load.serviceMillis() : UNKNOWN_SERVICE_MILLIS;
		double service = (candidate.serviceMillis() > 0) ? candidate.serviceMillis() : typical;
		int slots = Math.max(1, load.slots());
		int ahead = Math.max(0, load.running() + candidate.sentSince() - slots);
		double queued = (load.waiting() > 0) ? candidate.sentSince() : ahead;
		double factor = (candidate.coldMillis() > 0) ? COLD_FACTOR : 1;
		double success = Math.max(LEAST_SUCCESS, 1 - load.failurePercent() / 100.0);
		// A target that is nearly full slows down, so load counts a little before it
		// queues.
		double use = Math.min(1, (load.running() + candidate.sentSince()) / (double) slots);
		return (load.waitMillis() + queued * typical / slots + service * factor * (1 + use / 4)) / success;
	}

	private Candidate best(List<Candidate> candidates) {
		Candidate best = null;
		for (Candidate candidate : sample(candidates)) {
			if (best == null || expectedMillis(candidate) < expectedMillis(best)) {
				best = candidate;
			}
		}
		return best;
	}

	private List<Candidate> sample(List<Candidate> candidates) {
		List<Candidate> left = new ArrayList<>(candidates);
		List<Candidate> drawn = new ArrayList<>();
		while (drawn.size() < SAMPLE && !left.isEmpty()) {
			drawn.add(left.remove(this.random.nextInt(left.size())));
		}
		return drawn;
	}

}
