package org.eelgrasspitch.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import org.eelgrasspitch.text.Priority;

/**
 * Limits the work in progress at one target and decides what waits and what is shed.
 * <p>
 * Up to {@code slots} entries run. Further ones wait in a queue ordered by priority, then
 * by deadline; an entry whose deadline has passed is never started. When the queue is
 * full the least important waiting entry is shed if the new one is more important, else
 * the new one is. Shedding happens before work starts, so a shed entry certainly did not
 * run.
 * <p>
 * Worked case: one slot, a queue of one. A lookup runs, a second lookup waits, then a
 * payment arrives: the waiting lookup is shed and the payment waits.
 *
 * @param <T> type of the work
 */
public final class AdmissionQueue<T> {

	private final TreeSet<Entry<T>> waiting = new TreeSet<>(
			Comparator.<Entry<T>, Priority>comparing(Entry::priority, Comparator.reverseOrder())
				.thenComparingLong(Entry::deadlineAt)
				.thenComparingLong(Entry::sequence));

	/** Entries that run. */
	private int running;

	private long nextSequence;

	/**
	 * Admits, queues or sheds an entry.
	 * @param work the work
	 * @param priority its importance
	 * @param deadlineAt when its caller stops waiting, in monotonic milliseconds
	 * @param slots entries that may run at a time
	 * @param capacity entries that may wait
	 * @return what to do now
	 */
	public Admission<T> offer(T work, Priority priority, long deadlineAt, int slots, int capacity) {
		if (this.running < slots) {
			this.running++;
			return new Admission.Started<>();
		}
		Entry<T> entry = new Entry<>(work, priority, deadlineAt, this.nextSequence++);
		this.waiting.add(entry);
		if (this.waiting.size() <= capacity) {
			return new Admission.Queued<>();
		}
		Entry<T> last = this.waiting.pollLast();
		return (last == entry) ? new Admission.Shed<>(Optional.empty())
				: new Admission.Shed<>(Optional.of(last.work()));
	}

	/**
	 * Ends a running entry and starts the next one.
	 * @param now current monotonic time in milliseconds
	 * @return the entry to start, if any, and those whose deadline passed while they
	 * waited
	 */
	public Release<T> release(long now) {
		this.running--;
		List<T> expired = new ArrayList<>();
		while (!this.waiting.isEmpty()) {
			Entry<T> next = this.waiting.pollFirst();
			if (next.deadlineAt() > now) {
				this.running++;
				return new Release<>(Optional.of(next.work()), expired);
			}
			expired.add(next.work());
		}
		return new Release<>(Optional.empty(), expired);
	}

	/**
	 * Takes work that waits out of the queue.
	 * @param work the work
	 * @return true when it waited; false when it runs, ended or was never queued
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
	 * What to do with an offered entry.
	 *
	 * @param <T> type of the work
	 */
	public sealed interface Admission<T> {

		/**
		 * Start it now.
		 *
		 * @param <T> type of the work
		 */
		record Started<T>() implements Admission<T> {

		}

		/**
		 * It waits; {@link AdmissionQueue#release} will return it.
		 *
		 * @param <T> type of the work
		 */
		record Queued<T>() implements Admission<T> {

		}

		/**
		 * Something was shed.
		 *
		 * @param <T> type of the work
		 * @param displaced the waiting work that was shed for the new entry, which now
		 * waits; empty when the new entry itself was shed
		 */
		record Shed<T>(Optional<T> displaced) implements Admission<T> {

		}

	}

	/**
	 * What a release makes possible.
	 *
	 * @param <T> type of the work
	 * @param next the work to start; empty when nothing waits
	 * @param expired work to refuse because its deadline passed
	 */
	public record Release<T>(Optional<T> next, List<T> expired) {

	}

	/**
	 * Work that waits.
	 *
	 * @param <T> type of the work
	 * @param work the work
	 * @param priority its importance
	 * @param deadlineAt when its caller stops waiting
	 * @param sequence order of arrival
	 */
	private record Entry<T>(T work, Priority priority, long deadlineAt, long sequence) {

	}

}
