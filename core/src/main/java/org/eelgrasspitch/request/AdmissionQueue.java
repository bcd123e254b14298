package org.eelgrasspitch.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import org.eelgrasspitch.mesh.StartPacer;
import org.eelgrasspitch.text.Priority;

/**
 * Admission control for one target: limits concurrent work, queues the excess and sheds
 * load when the queue is full.
 * <p>
 * Work is started on arrival if fewer than {@code slots} entries run, even if others
 * wait. A target that has named a limit is also paced by {@link StartPacer}; then work
 * that waits goes first, and what the limit would delay beyond its deadline is shed at
 * once. Other work waits in a queue ordered by descending priority, then by deadline,
 * then by arrival. A waiting entry whose deadline has passed is never started. When the
 * queue exceeds its capacity, the entry that is last in this order is shed, which may be
 * the new one. Only waiting entries are shed, so a shed entry has not run.
 * <p>
 * Example with one slot and a capacity of one: a lookup runs, a second lookup waits, and
 * a payment of higher priority arrives. The waiting lookup is shed and the payment waits.
 * <p>
 * Not thread-safe; callers must synchronize.
 *
 * @param <T> type of the work, compared by identity
 */
public final class AdmissionQueue<T> {

	private final TreeSet<Entry<T>> waiting = new TreeSet<>(
			Comparator.<Entry<T>, Priority>comparing(Entry::priority, Comparator.reverseOrder())
				.thenComparingLong(Entry::deadlineAt)
				.thenComparingLong(Entry::sequence));

	private final StartPacer pacer = new StartPacer(StartPacer.DEFAULT_SETTLE_MILLIS);

	/** Number of running entries. */
	private int running;

	private long nextSequence;

	/**
	 * Sets the limit that the target has named.
	 * @param perSecond requests per second;
	 * {@link org.eelgrasspitch.mesh.TargetStatements#NO_LIMIT} for none
	 * @param namedAfterMillis earliest time at which the target can have named it, in
	 * monotonic milliseconds; ignored without a limit
	 * @param now current monotonic time in milliseconds
	 */
	public void setLimit(double perSecond, long namedAfterMillis, long now) {
		this.pacer.setLimit(perSecond, namedAfterMillis, now);
	}

	/**
	 * Starts, queues or sheds new work.
	 * @param work the work
	 * @param priority its priority
	 * @param deadlineAt its deadline, in monotonic milliseconds
	 * @param slots maximum number of running entries
	 * @param capacity maximum number of waiting entries
	 * @param now current monotonic time in milliseconds
	 * @return whether the work was started or queued, or which work was shed
	 */
	public Admission<T> offer(T work, Priority priority, long deadlineAt, int slots, int capacity, long now) {
		boolean first = !this.pacer.isLimited() || this.waiting.isEmpty();
		if (this.running < slots && first && this.pacer.permits(now) > 0) {
			recordStart(now);
			return new Admission.Started<>();
		}
		Entry<T> entry = new Entry<>(work, priority, deadlineAt, this.nextSequence++);
		this.waiting.add(entry);
		if (this.waiting.size() <= capacity && lastStartsInTime(now)) {
			return new Admission.Queued<>();
		}
		Entry<T> last = this.waiting.pollLast();
		return (last == entry) ? new Admission.Shed<>(Optional.empty())
				: new Admission.Shed<>(Optional.of(last.work()));
	}

	/**
	 * Frees the slot of a running entry and hands it to the next waiting entry whose
	 * deadline has not passed, if the limit permits a start, and whatever number of slots
	 * was given to the last {@link #offer}.
	 * @param now current monotonic time in milliseconds
	 * @return the work to start, if any, and the work removed because its deadline had
	 * passed
	 */
	public Release<T> release(long now) {
		this.running--;
		return startNext(now);
	}

	/**
	 * Starts the next waiting entry if a slot is free; called repeatedly while a limit
	 * may have kept slots free.
	 * @param slots maximum number of running entries
	 * @param now current monotonic time in milliseconds
	 * @return the work to start, if any, and the work removed because its deadline had
	 * passed
	 */
	public Release<T> startDelayed(int slots, long now) {
		return (this.running < slots) ? startNext(now) : new Release<>(Optional.empty(), List.of());
	}

	private Release<T> startNext(long now) {
		List<T> expired = new ArrayList<>();
		while (!this.waiting.isEmpty() && this.pacer.permits(now) > 0) {
			Entry<T> next = this.waiting.pollFirst();
			if (next.deadlineAt() > now) {
				recordStart(now);
				return new Release<>(Optional.of(next.work()), expired);
			}
			expired.add(next.work());
		}
		return new Release<>(Optional.empty(), expired);
	}

	/**
	 * Returns whether the limit permits the last waiting entry to start before its
	 * deadline.
	 */
	private boolean lastStartsInTime(long now) {
		return !this.pacer.isLimited()
				|| now + this.pacer.delayMillis(this.waiting.size() - 1, now) < this.waiting.last().deadlineAt();
	}

	private void recordStart(long now) {
		this.running++;
		this.pacer.recordStarts(1, now);
	}

	/**
	 * Removes waiting work from the queue.
	 * @param work the work
	 * @return true if it was waiting; false if it is running, has ended or was never
	 * queued
	 */
	public boolean remove(T work) {
		return this.waiting.removeIf((entry) -> entry.work() == work);
	}

	/**
	 * Returns the number of running entries.
	 * @return the number
	 */
	public int running() {
		return this.running;
	}

	/**
	 * Returns the number of waiting entries.
	 * @return the number
	 */
	public int waiting() {
		return this.waiting.size();
	}

	/**
	 * Result of {@link AdmissionQueue#offer}.
	 *
	 * @param <T> type of the work
	 */
	public sealed interface Admission<T> {

		/**
		 * The work has a slot; the caller must start it now.
		 *
		 * @param <T> type of the work
		 */
		record Started<T>() implements Admission<T> {

		}

		/**
		 * The work waits until {@link AdmissionQueue#release} returns it or it is shed or
		 * removed.
		 *
		 * @param <T> type of the work
		 */
		record Queued<T>() implements Admission<T> {

		}

		/**
		 * The queue was full and an entry was shed.
		 *
		 * @param <T> type of the work
		 * @param displaced the waiting work that was shed in favour of the new work,
		 * which now waits; empty if the new work itself was shed
		 */
		record Shed<T>(Optional<T> displaced) implements Admission<T> {

		}

	}

	/**
	 * Result of {@link AdmissionQueue#release}.
	 *
	 * @param <T> type of the work
	 * @param next the work to start; empty if no waiting entry can start
	 * @param expired work to refuse because its deadline passed while it waited; may be
	 * empty
	 */
	public record Release<T>(Optional<T> next, List<T> expired) {

	}

	/**
	 * A waiting entry.
	 *
	 * @param <T> type of the work
	 * @param work the work
	 * @param priority its priority
	 * @param deadlineAt its deadline, in monotonic milliseconds
	 * @param sequence arrival number, which breaks ties
	 */
	private record Entry<T>(T work, Priority priority, long deadlineAt, long sequence) {

	}

}
