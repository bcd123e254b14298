package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides which requests run at a target, which wait and which are refused.
 * <p>
 * As many requests run as the target has slots, so the target itself never queues. The
 * others wait here, in this order: the more important first; of equal importance those
 * that can still meet their objective before those that cannot; then by objective. A
 * request is refused as soon as its expected start leaves too little time to be served
 * before its deadline, on arrival or when others go ahead of it, so its caller learns at
 * once that it has not run. Requests that cannot meet their objective any more wait only
 * in a small number, because each would hold up later ones that still can. A request that
 * can start now does, as long as its caller waits: its expected time may be wrong, and
 * would never be corrected if it were refused.
 * <p>
 * Load pattern answered: arrivals exceed the slots for seconds. In the order of arrival
 * everybody waits until nobody is served in time; here the slots go to requests that are
 * still worth most, and the excess is told at once when to come back.
 * <p>
 * Worked case: one slot, service time 100 ms, objective 300 ms. Of ten requests that
 * arrive together, one runs, two wait and meet the objective, one waits as late, and six
 * are refused with the time in which the queue drains.
 *
 * @param <T> type of the work
 */
public final class TargetQueue<T> {

	/**
	 * Rank of calls that targets make while they run a request: ahead of all others,
	 * since work already done is lost when one of them fails.
	 */
	public static final int NESTED_CALL_RANK = -1;

	/**
	 * A request counts as able to meet its objective if this multiple of its time fits.
	 */
	private static final double OBJECTIVE_MARGIN = 1.2;

	/** Late requests that may wait for each slot. */
	private static final double LATE_REQUESTS_PER_SLOT = 0.5;

	/** Shortest time after which a refused caller is asked back, in milliseconds. */
	private static final long MIN_RETRY_AFTER_MILLIS = 100;

	private final List<QueuedJob<T>> waiting = new ArrayList<>();

	private int running;

	private long nextSequence;

	/**
	 * Offers work.
	 * @param job the work
	 * @param slots requests that may run at a time
	 * @param now current monotonic time in milliseconds
	 * @return what to do now
	 */
	public Decision<T> offer(Job<T> job, int slots, long now) {
		if (this.running < slots && this.waiting.isEmpty()) {
			this.running++;
			return new Decision<>(List.of(job.work()), List.of());
		}
		this.waiting.add(new QueuedJob<>(job, this.nextSequence++));
		return schedule(slots, now);
	}

	/**
	 * Ends running work.
	 * @param slots requests that may run at a time
	 * @param now current monotonic time in milliseconds
	 * @return what to do now
	 */
	public Decision<T> release(int slots, long now) {
		this.running--;
		return schedule(slots, now);
	}

	/**
	 * Takes waiting work out of the queue.
	 * @param work the work
	 * @return true when it waited; false when it runs or has ended
	 */
	public boolean remove(T work) {
		return this.waiting.removeIf((entry) -> entry.job.work() == work);
	}

	/**
	 * Takes all waiting work out of the queue.
	 * @return the work in its order
	 */
	public List<T> removeAll() {
		List<T> all = this.waiting.stream().map((entry) -> entry.job.work()).toList();
		this.waiting.clear();
		return all;
	}

	/**
	 * Starts what fits and refuses what cannot be served any more.
	 * @param slots requests that may run at a time
	 * @param now current monotonic time in milliseconds
	 * @return what to do now
	 */
	public Decision<T> schedule(int slots, long now) {
		this.waiting.sort(order(now));
		List<T> started = new ArrayList<>();
		List<Refusal<T>> refused = new ArrayList<>();
		List<QueuedJob<T>> remaining = new ArrayList<>();
		double work = 0;
		int lateRequests = 0;
		int free = slots - this.running;
		for (QueuedJob<T> entry : this.waiting) {
			boolean starts = started.size() < free;
			double start = starts ? 0 : expectedStartMillis(work, slots);
			boolean missesObjective = !entry.meetsObjective(now + (long) start);
			boolean missesDeadline = starts ? entry.job.deadlineAtMillis() <= now
					: !entry.meetsDeadline(now + (long) start);
			if (missesDeadline || (!starts && missesObjective && lateRequests >= maxLateRequests(slots))) {
				refused.add(new Refusal<>(entry.job.work(), Math.max(MIN_RETRY_AFTER_MILLIS, (long) start)));
				continue;
			}
			if (starts) {
				started.add(entry.job.work());
				continue;
			}
			lateRequests += missesObjective ? 1 : 0;
			work += entry.job.expectedMillis();
			remaining.add(entry);
		}
		this.waiting.clear();
		this.waiting.addAll(remaining);
		this.running += started.size();
		return new Decision<>(started, refused);
	}

	/**
	 * Tells where waiting work stands.
	 * @param work the work
	 * @param slots requests that may run at a time
	 * @return its place, or empty when it does not wait
	 */
	public Optional<Position> position(T work, int slots) {
		double ahead = 0;
		for (int i = 0; i < this.waiting.size(); i++) {
			Job<T> job = this.waiting.get(i).job;
			if (job.work() == work) {
				return Optional.of(new Position(i, (long) expectedStartMillis(ahead, slots)));
			}
			ahead += job.expectedMillis();
		}
		return Optional.empty();
	}

	/**
	 * Returns the number of running requests.
	 * @return the number
	 */
	public int running() {
		return this.running;
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	public int waiting() {
		return this.waiting.size();
	}

	/**
	 * Estimates the wait of one more request that goes behind all others.
	 * @param slots requests that may run at a time
	 * @return the time in milliseconds
	 */
	public long waitMillis(int slots) {
		if (this.waiting.isEmpty() && this.running < slots) {
			return 0;
		}
		return (long) expectedStartMillis(
				this.waiting.stream().mapToDouble((entry) -> entry.job.expectedMillis()).sum(), slots);
	}

	private static double maxLateRequests(int slots) {
		return Math.max(1, slots * LATE_REQUESTS_PER_SLOT);
	}

	/**
	 * Estimates when work starts that has other work ahead of it.
	 * @param aheadMillis service time of the waiting work ahead
	 * @param slots requests that run at a time
	 * @return time until it starts, in milliseconds
	 */
	private double expectedStartMillis(double aheadMillis, int slots) {
		return aheadMillis / Math.max(1, slots);
	}

	private static <T> Comparator<QueuedJob<T>> order(long now) {
		return Comparator.<QueuedJob<T>>comparingInt((entry) -> entry.job.rank())
			.thenComparing((entry) -> !entry.meetsObjective(now))
			.thenComparingLong((entry) -> entry.job.objectiveAtMillis())
			.thenComparingLong((entry) -> entry.sequence);
	}

	/**
	 * Work that asks for a slot.
	 *
	 * @param <T> type of the work
	 * @param work the work
	 * @param rank importance; lower goes first
	 * @param objectiveAtMillis when its answer becomes late, in monotonic milliseconds
	 * @param deadlineAtMillis when its caller stops waiting, in monotonic milliseconds
	 * @param expectedMillis its expected time at the target
	 */
	public record Job<T>(T work, int rank, long objectiveAtMillis, long deadlineAtMillis, double expectedMillis) {

	}

	/**
	 * Where work stands in the queue.
	 *
	 * @param jobsAhead other work that starts before it
	 * @param waitMillis expected time until it starts, in milliseconds
	 */
	public record Position(int jobsAhead, long waitMillis) {

	}

	/**
	 * What to do now.
	 *
	 * @param <T> type of the work
	 * @param started work to start; it counts as running
	 * @param refused work that is refused; it has not run and is forgotten
	 */
	public record Decision<T>(List<T> started, List<Refusal<T>> refused) {

		/**
		 * Tells whether this decision refuses the given work.
		 * @param work the work
		 * @return the refusal, or empty
		 */
		public Optional<Refusal<T>> refusal(T work) {
			return this.refused.stream().filter((candidate) -> candidate.work() == work).findFirst();
		}

	}

	/**
	 * Work that was refused.
	 *
	 * @param <T> type of the work
	 * @param work the work
	 * @param retryAfterMillis when its caller may come back
	 */
	public record Refusal<T>(T work, long retryAfterMillis) {

	}

	/**
	 * Work that waits.
	 *
	 * @param <T> type of the work
	 * @param job the work
	 * @param sequence order of arrival
	 */
	private record QueuedJob<T>(Job<T> job, long sequence) {

		boolean meetsObjective(long start) {
			return start + OBJECTIVE_MARGIN * this.job.expectedMillis() <= this.job.objectiveAtMillis();
		}

		boolean meetsDeadline(long start) {
			return start + this.job.expectedMillis() <= this.job.deadlineAtMillis();
		}

	}

}
