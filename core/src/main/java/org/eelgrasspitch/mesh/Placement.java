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
 * domain the others stay idle. Of many candidates only {@link #SAMPLE_SIZE} on each side,
 * drawn at random, are compared, so that not every entry runs to the same best target
 * between two reports.
 */
public final class Placement {

	/** Candidates compared on each side; more gains little over the power of two. */
	private static final int SAMPLE_SIZE = 4;

	/** Share of the objective within which a near target counts as good enough. */
	private static final double NEAR_OBJECTIVE_SHARE = 0.5;

	/**
	 * Share of a near target's expected time that a far one must undercut. When every
	 * failure domain is overloaded, the far ones are hardly better, and sending requests
	 * back and forth helps no caller.
	 */
	private static final double FAR_TIME_SHARE = 0.5;

	/** Failure share, in percent, from which a near target is no longer preferred. */
	private static final int UNHEALTHY_FAILURE_PERCENT = 12;

	/** Service time assumed before the first answer, in milliseconds. */
	private static final double UNKNOWN_SERVICE_MILLIS = 50;

	/** How much slower a cold target is; servers of the platform's kind take twice. */
	private static final double COLD_FACTOR = 2;

	/** Never divide by less than this share of successes. */
	private static final double MIN_SUCCESS_SHARE = 0.05;

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
		Candidate near = fastest(up.stream().filter(Candidate::near).toList());
		boolean nearHealthy = near != null && near.load().failurePercent() < UNHEALTHY_FAILURE_PERCENT;
		if (nearHealthy && expectedMillis(near) <= NEAR_OBJECTIVE_SHARE * objectiveMillis) {
			return Optional.of(near);
		}
		Candidate far = fastest(up.stream().filter((candidate) -> !candidate.near()).toList());
		if (near == null || far == null) {
			return Optional.ofNullable((near != null) ? near : far);
		}
		double boundMillis = (nearHealthy ? FAR_TIME_SHARE : 1) * expectedMillis(near);
		return Optional.of((expectedMillis(far) < boundMillis) ? far : near);
	}

	/**
	 * Estimates when a candidate would answer.
	 * @param candidate the candidate
	 * @return the expected time in milliseconds
	 */
	public static double expectedMillis(Candidate candidate) {
		TargetLoad load = candidate.load();
		double typicalMillis = (load.serviceMillis() > 0) ? load.serviceMillis() : UNKNOWN_SERVICE_MILLIS;
		double serviceMillis = (candidate.serviceMillis() > 0) ? candidate.serviceMillis() : typicalMillis;
		int slots = Math.max(1, load.slots());
		int excess = Math.max(0, load.running() + candidate.sentSinceReport() - slots);
		double queued = (load.waiting() > 0) ? candidate.sentSinceReport() : excess;
		double factor = (candidate.coldMillis() > 0) ? COLD_FACTOR : 1;
		double success = Math.max(MIN_SUCCESS_SHARE, 1 - load.failurePercent() / 100.0);
		// A target that is nearly full slows down, so load counts a little before it
		// queues.
		double utilization = Math.min(1, (load.running() + candidate.sentSinceReport()) / (double) slots);
		return (load.waitMillis() + queued * typicalMillis / slots + serviceMillis * factor * (1 + utilization / 4))
				/ success;
	}

	private Candidate fastest(List<Candidate> candidates) {
		Candidate best = null;
		for (Candidate candidate : sample(candidates)) {
			if (best == null || expectedMillis(candidate) < expectedMillis(best)) {
				best = candidate;
			}
		}
		return best;
	}

	private List<Candidate> sample(List<Candidate> candidates) {
		List<Candidate> remaining = new ArrayList<>(candidates);
		List<Candidate> sample = new ArrayList<>();
		while (sample.size() < SAMPLE_SIZE && !remaining.isEmpty()) {
			sample.add(remaining.remove(this.random.nextInt(remaining.size())));
		}
		return sample;
	}

}
