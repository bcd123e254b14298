package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a request by the expected response time of each candidate.
 * <p>
 * The expected time is the wait reported by the home, plus the time for requests that
 * this entry node has sent since, plus the service time, which is longer on a target that
 * is warming up or nearly full. The sum is divided by the share of requests that the
 * target does not fail. Near targets, those in the entry node's failure domain, are
 * preferred while one of them would answer well within the objective, because traffic
 * between failure domains is charged for. Otherwise a far target is chosen if its
 * expected time is less than half that of the near one, or merely shorter if the near one
 * fails many requests. If there is no near target, the fastest far one is chosen.
 * <p>
 * This balances the load when the targets of one failure domain are slow or overloaded
 * while others have free slots. If the target with the fewest requests in flight were
 * chosen, a slow target would get as many requests as a fast one and its queue would
 * grow; with strict preference for the entry node's failure domain, the other targets
 * would stay idle. Only {@link #SAMPLE_SIZE} randomly drawn near and as many far
 * candidates are compared, so that entry nodes do not all choose the same target between
 * two load reports.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class Placement {

	/**
	 * Maximum number of near and of far candidates compared; more gain little over the
	 * power of two choices.
	 */
	private static final int SAMPLE_SIZE = 4;

	/**
	 * Share of the objective up to which the expected time of a near target is accepted
	 * without comparing far ones.
	 */
	private static final double NEAR_OBJECTIVE_SHARE = 0.5;

	/**
	 * Share of a healthy near target's expected time below which a far one is chosen.
	 * When every failure domain is overloaded, far targets are hardly faster, and
	 * exchanging requests between failure domains helps no caller.
	 */
	private static final double FAR_TIME_SHARE = 0.5;

	/** Failure percentage from which a near target is no longer preferred. */
	private static final int UNHEALTHY_FAILURE_PERCENT = 12;

	/** Service time assumed before the first observation, in milliseconds. */
	private static final double UNKNOWN_SERVICE_MILLIS = 50;

	/**
	 * Factor on the service time of a target that is warming up; servers of the kind that
	 * the platform runs take twice as long.
	 */
	private static final double COLD_FACTOR = 2;

	/** Lower bound of the success share by which the expected time is divided. */
	private static final double MIN_SUCCESS_SHARE = 0.05;

	private static final double MILLIS_PER_SECOND = 1_000;

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
	 * ignored
	 * @param objectiveMillis time left until the objective, in milliseconds; 0 or less
	 * when it is exceeded
	 * @return the chosen target, or empty if no candidate accepts requests
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
	 * Estimates the response time of a candidate.
	 * @param candidate the candidate
	 * @return the expected time from sending to the answer, in milliseconds
	 */
	public static double expectedMillis(Candidate candidate) {
		TargetLoad load = candidate.load();
		double typicalMillis = (load.serviceMillis() > 0) ? load.serviceMillis() : UNKNOWN_SERVICE_MILLIS;
		double serviceMillis = (candidate.serviceMillis() > 0) ? candidate.serviceMillis() : typicalMillis;
		int slots = Math.max(1, load.slots());
		int excess = Math.max(0, load.running() + candidate.sentSinceReport() - slots);
		boolean allQueue = load.waiting() > 0 || load.isLimited();
		double queued = allQueue ? candidate.sentSinceReport() : excess;
		double millisPerQueued = Math.max(typicalMillis / slots, MILLIS_PER_SECOND / load.limitPerSecond());
		double factor = (candidate.coldMillis() > 0) ? COLD_FACTOR : 1;
		double success = Math.max(MIN_SUCCESS_SHARE, 1 - load.failurePercent() / 100.0);
		// A nearly full target slows down, so its utilization counts before requests
		// queue.
		double utilization = Math.min(1, (load.running() + candidate.sentSinceReport()) / (double) slots);
		return (load.waitMillis() + queued * millisPerQueued + serviceMillis * factor * (1 + utilization / 4))
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
