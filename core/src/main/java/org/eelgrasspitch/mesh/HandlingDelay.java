package org.eelgrasspitch.mesh;

/**
 * Estimates how long a message that arrives at a node waits until the node handles it,
 * from how late the node's periodic tasks run.
 * <p>
 * Load pattern: targets are replaced one after the other, and each new one comes with a
 * node that has just started on a small VM. For some seconds that node needs more
 * processor time than the VM has. Its target has free slots and its queue is empty, since
 * the requests wait in its sockets, so entry nodes that go by queue and slots send it
 * ever more of them until their objectives and deadlines have passed. The home therefore
 * reports this delay as a part of the wait.
 * <p>
 * A long delay counts at once and is halved every {@link #HALF_LIFE_MILLIS}, so that
 * requests return while the node recovers and not all at a time.
 * <p>
 * While the node is behind ({@link #isBehind}), what it has read may be out of date: the
 * end of a caller's connection, or the cancellation of a call, can lie unread behind the
 * request. Decisions that cannot be taken back then read the connection first.
 * <p>
 * Example: a task runs 800 ms late. At that time the estimate is 800 ms, 400 ms half a
 * second later if the next tasks run in time, and 100 ms after a second and a half. The
 * node counts as behind from the moment at which the task is 50 ms late, so also before
 * it runs, until two seconds after it has run.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class HandlingDelay {

	/** Interval of the periodic task. */
	public static final long TICK_INTERVAL_MILLIS = 250;

	/**
	 * Delay from which a node counts as behind: a tenth of the half second within which
	 * the work for a caller that has left must end.
	 */
	static final long BEHIND_MILLIS = 50;

	/** Time in which the estimate is halved unless a longer delay is observed. */
	static final long HALF_LIFE_MILLIS = 500;

	/** The longest recent delay, in milliseconds, as of {@link #observedAtMillis}. */
	private double delayMillis;

	private long observedAtMillis;

	/** Whether the periodic task has run. */
	private boolean ticked;

	/** Monotonic time of the last run of the periodic task, in milliseconds. */
	private long lastTickAtMillis;

	/**
	 * Records a run of the periodic task.
	 * @param now current monotonic time in milliseconds
	 * @return how late it runs, in milliseconds; 0 for the first run
	 */
	public long tick(long now) {
		long lateMillis = Math.max(0, overdueMillis(now));
		record(lateMillis, now);
		this.ticked = true;
		this.lastTickAtMillis = now;
		return lateMillis;
	}

	/**
	 * Returns whether messages may have waited at this node for so long that what it has
	 * read is out of date.
	 * @param now current monotonic time in milliseconds
	 * @return true while the periodic task is late, and for some time after it was
	 */
	public boolean isBehind(long now) {
		return overdueMillis(now) > BEHIND_MILLIS
				|| (this.delayMillis > BEHIND_MILLIS && currentMillis(now) > BEHIND_MILLIS);
	}

	/**
	 * Returns the time since the periodic task was due; not positive if it is not due or
	 * has never run.
	 */
	private long overdueMillis(long now) {
		return this.ticked ? now - this.lastTickAtMillis - TICK_INTERVAL_MILLIS : 0;
	}

	/**
	 * Records how late a periodic task runs.
	 * @param lateMillis time since it was due, in milliseconds; 0 if it is in time
	 * @param now current monotonic time in milliseconds
	 */
	public void record(long lateMillis, long now) {
		this.delayMillis = Math.max(lateMillis, currentMillis(now));
		this.observedAtMillis = now;
	}

	/**
	 * Returns the estimate.
	 * @param now current monotonic time in milliseconds
	 * @return the time that a message waits, in milliseconds
	 */
	public double currentMillis(long now) {
		return this.delayMillis * Math.pow(0.5, (now - this.observedAtMillis) / (double) HALF_LIFE_MILLIS);
	}

}
