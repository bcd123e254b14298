package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Admission queue in front of a target: decides which requests run, which wait and which
 * are refused.
 * <p>
 * At most as many requests run as the target has slots, so the target itself never
 * queues. The others wait here, ordered by rank, then requests that can still meet their
 * objective before those that cannot, then by objective. A request is refused as soon as
 * its expected start leaves too little time to serve it before its deadline, on arrival
 * or when others overtake it, so that its caller learns at once that it has not run. The
 * number of waiting requests that cannot meet their objective is limited, because each of
 * them delays later ones that can. A request for which a slot is free starts whatever its
 * expected time, because the estimate may be wrong and would never be corrected if the
 * request were refused. No request starts after its deadline.
 * <p>
 * When arrivals exceed the slots for seconds, a FIFO queue grows until no request is
 * served in time, and requests whose callers have stopped waiting take slots from those
 * whose callers still wait. This queue gives the slots to requests that can still meet
 * their objective and refuses the excess early, with a time after which to retry.
 * <p>
 * A target that has named a limit is also paced by {@link StartPacer}. Its waiting
 * requests are refused by the time that the limit makes them wait, so that callers and
 * entry nodes turn to other targets at once.
 * <p>
 * Example: one slot, service time 100 ms, objective 300 ms. Of ten requests that arrive
 * together, one runs, two wait and meet the objective, one waits although it will be
 * late, and six are refused with the time in which the queue drains.
 * <p>
 * Not thread-safe; callers must synchronize.
 *
 * @param <T> type of the work items, compared by identity
 */
public final class TargetQueue<T> {

	/**
	 * Rank of calls that targets make while they run a request. They precede all others,
	 * because the work already done for the request is lost if one of them fails.
	 */
	public static final int NESTED_CALL_RANK = -1;

	/**
	 * Factor on the expected time that must fit before the objective for a request to
	 * count as able to meet it.
	 */
	private static final double OBJECTIVE_MARGIN = 1.2;

	/**
	 * Maximum number of waiting requests that cannot meet their objective, for each slot;
	 * at least one may wait.
	 */
	private static final double LATE_REQUESTS_PER_SLOT = 0.5;

	/** Minimum retry time given to refused callers, in milliseconds. */
	private static final long MIN_RETRY_AFTER_MILLIS = 100;

	private final List<QueuedJob<T>> waiting = new ArrayList<>();

	private final StartPacer pacer;

	private int running;

	/** Monotonic time in milliseconds by which requests must have ended. */
	private long endAtMillis = Long.MAX_VALUE;

	private long nextSequence;

	/**
	 * Creates an empty queue.
	 * @param pacer paces the starts when the target has named a limit
	 */
	public TargetQueue(StartPacer pacer) {
		this.pacer = pacer;
	}

	/**
	 * Sets the limit that the target has named.
	 * @param perSecond requests per second; {@link TargetStatements#NO_LIMIT} for none
	 * @param namedAfterMillis earliest time at which the target can have named it, in
	 * monotonic milliseconds; ignored without a limit
	 * @param now current monotonic time in milliseconds
	 */
	public void setLimit(double perSecond, long namedAfterMillis, long now) {
		this.pacer.setLimit(perSecond, namedAfterMillis, now);
	}

	/**
	 * Sets the time by which requests must have ended, because their home closes then.
	 * @param newEndAtMillis the time, in monotonic milliseconds
	 */
	public void setEnd(long newEndAtMillis) {
		this.endAtMillis = newEndAtMillis;
	}

	/**
	 * Adds a request, which starts, waits or is refused.
	 * @param job the request
	 * @param slots maximum number of requests that run concurrently
	 * @param now current monotonic time in milliseconds
	 * @return requests to start and requests that are refused
	 */
	public Decision<T> offer(Job<T> job, int slots, long now) {
		boolean inTime = now < job.deadlineAtMillis() && now + job.expectedMillis() <= this.endAtMillis;
		if (this.running < slots && this.waiting.isEmpty() && this.pacer.permits(now) > 0 && inTime) {
			this.running++;
			this.pacer.recordStarts(1, now);
			return new Decision<>(List.of(job.work()), List.of());
		}
		this.waiting.add(new QueuedJob<>(job, this.nextSequence++));
		return schedule(slots, now);
	}

	/**
	 * Releases the slot of a request that has ended and schedules waiting requests.
	 * @param slots maximum number of requests that run concurrently
	 * @param now current monotonic time in milliseconds
	 * @return requests to start and requests that are refused
	 */
	public Decision<T> release(int slots, long now) {
		this.running--;
		return schedule(slots, now);
	}

	/**
	 * Removes a waiting request from the queue.
	 * @param work the work item
	 * @return true if it was waiting; false if it runs or has ended
	 */
	public boolean remove(T work) {
		return this.waiting.removeIf((entry) -> entry.job.work() == work);
	}

	/**
	 * Removes all waiting requests from the queue.
	 * @return work items of the removed requests in queue order
	 */
	public List<T> removeAll() {
		List<T> all = this.waiting.stream().map((entry) -> entry.job.work()).toList();
		this.waiting.clear();
		return all;
	}

	/**
	 * Starts waiting requests while slots are free and refuses those that cannot be
	 * served any more.
	 * @param slots maximum number of requests that run concurrently
	 * @param now current monotonic time in milliseconds
	 * @return requests to start and requests that are refused
	 */
	public Decision<T> schedule(int slots, long now) {
		this.waiting.sort(order(now));
		List<T> started = new ArrayList<>();
		List<Refusal<T>> refused = new ArrayList<>();
		List<QueuedJob<T>> remaining = new ArrayList<>();
		double aheadMillis = 0;
		int lateRequests = 0;
		int free = Math.min(slots - this.running, this.pacer.permits(now));
		for (QueuedJob<T> entry : this.waiting) {
			boolean starts = started.size() < free;
			double startDelayMillis = starts ? 0
					: expectedStartDelayMillis(aheadMillis, started.size() + remaining.size(), slots, now);
			boolean missesObjective = !entry.meetsObjective(now + (long) startDelayMillis);
			boolean missesDeadline = starts ? entry.job.deadlineAtMillis() <= now
					: !entry.meetsDeadline(now + (long) startDelayMillis);
			boolean missesEnd = now + (long) startDelayMillis + entry.job.expectedMillis() > this.endAtMillis;
			if (missesDeadline || missesEnd
					|| (!starts && missesObjective && lateRequests >= maxLateRequests(entry.job, slots, now))) {
				refused.add(new Refusal<>(entry.job.work(), Math.max(MIN_RETRY_AFTER_MILLIS, (long) startDelayMillis)));
				continue;
			}
			if (starts) {
				started.add(entry.job.work());
				continue;
			}
			lateRequests += missesObjective ? 1 : 0;
			aheadMillis += entry.job.expectedMillis();
			remaining.add(entry);
		}
		this.waiting.clear();
		this.waiting.addAll(remaining);
		this.running += started.size();
		this.pacer.recordStarts(started.size(), now);
		return new Decision<>(started, refused);
	}

	/**
	 * Returns the position of a waiting request.
	 * @param work the work item
	 * @param slots maximum number of requests that run concurrently
	 * @param now current monotonic time in milliseconds
	 * @return its position, or empty if it is not waiting
	 */
	public Optional<Position> position(T work, int slots, long now) {
		double aheadMillis = 0;
		for (int i = 0; i < this.waiting.size(); i++) {
			Job<T> job = this.waiting.get(i).job;
			if (job.work() == work) {
				return Optional.of(new Position(i, (long) expectedStartDelayMillis(aheadMillis, i, slots, now)));
			}
			aheadMillis += job.expectedMillis();
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
	 * Estimates the wait of one more request behind all others.
	 * @param slots maximum number of requests that run concurrently
	 * @param now current monotonic time in milliseconds
	 * @return the time in milliseconds; running requests are not counted
	 */
	public long waitMillis(int slots, long now) {
		double aheadMillis = this.waiting.stream().mapToDouble((entry) -> entry.job.expectedMillis()).sum();
		return (long) expectedStartDelayMillis(aheadMillis, this.waiting.size(), slots, now);
	}

	/**
	 * Returns how many late requests may wait: a share of the requests that run at a
	 * time, which a limit may keep below the slots.
	 */
	private double maxLateRequests(Job<T> job, int slots, long now) {
		double concurrent = Math.min(slots, job.expectedMillis() / this.pacer.intervalMillis(now));
		return Math.max(1, concurrent * LATE_REQUESTS_PER_SLOT);
	}

	/**
	 * Estimates the time until a request starts.
	 * @param aheadMillis total expected service time of the waiting requests ahead, in
	 * milliseconds; running requests are not counted
	 * @param ahead number of requests that start before it
	 * @param slots maximum number of requests that run concurrently
	 * @param now current monotonic time in milliseconds
	 * @return time until its start, in milliseconds
	 */
	private double expectedStartDelayMillis(double aheadMillis, int ahead, int slots, long now) {
		return Math.max(aheadMillis / Math.max(1, slots), this.pacer.delayMillis(ahead, now));
	}

	private static <T> Comparator<QueuedJob<T>> order(long now) {
		return Comparator.<QueuedJob<T>>comparingInt((entry) -> entry.job.rank())
			.thenComparing((entry) -> !entry.meetsObjective(now))
			.thenComparingLong((entry) -> entry.job.objectiveAtMillis())
			.thenComparingLong((entry) -> entry.sequence);
	}

	/**
	 * A request for a slot.
	 *
	 * @param <T> type of the work items
	 * @param work the work item
	 * @param rank priority; the lowest rank goes first
	 * @param objectiveAtMillis monotonic time of its objective in milliseconds
	 * @param deadlineAtMillis monotonic time in milliseconds at which its caller stops
	 * waiting
	 * @param expectedMillis expected service time at the target, in milliseconds
	 */
	public record Job<T>(T work, int rank, long objectiveAtMillis, long deadlineAtMillis, double expectedMillis) {

	}

	/**
	 * Position of a waiting request.
	 *
	 * @param jobsAhead number of waiting requests ahead of it
	 * @param waitMillis expected time until its start, in milliseconds; running requests
	 * are not counted
	 */
	public record Position(int jobsAhead, long waitMillis) {

	}

	/**
	 * Result of a scheduling decision.
	 *
	 * @param <T> type of the work items
	 * @param started work items to start; they already count as running
	 * @param refused refused requests; they have not run and have left the queue
	 */
	public record Decision<T>(List<T> started, List<Refusal<T>> refused) {

		/**
		 * Finds the refusal of a request.
		 * @param work the work item
		 * @return the refusal, or empty if this decision does not refuse it
		 */
		public Optional<Refusal<T>> refusal(T work) {
			return this.refused.stream().filter((candidate) -> candidate.work() == work).findFirst();
		}

	}

	/**
	 * A refused request.
	 *
	 * @param <T> type of the work items
	 * @param work the work item
	 * @param retryAfterMillis time after which its caller may retry, in milliseconds
	 */
	public record Refusal<T>(T work, long retryAfterMillis) {

	}

	/**
	 * A waiting request.
	 *
	 * @param <T> type of the work items
	 * @param job the request
	 * @param sequence number of the request in order of arrival
	 */
	private record QueuedJob<T>(Job<T> job, long sequence) {

		boolean meetsDeadline(long startAtMillis) {
			return startAtMillis + this.job.expectedMillis() <= this.job.deadlineAtMillis();
		}

		boolean meetsObjective(long startAtMillis) {
			return startAtMillis + OBJECTIVE_MARGIN * this.job.expectedMillis() <= this.job.objectiveAtMillis();
		}

	}

}
