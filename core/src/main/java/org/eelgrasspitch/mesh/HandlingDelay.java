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
 * Example: a task runs 800 ms late. At that time the estimate is 800 ms, 400 ms half a
 * second later if the next tasks run in time, and 100 ms after a second and a half.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class HandlingDelay {

	/** Time in which the estimate is halved unless a longer delay is observed. */
	static final long HALF_LIFE_MILLIS = 500;

	/** The longest recent delay, in milliseconds, as of {@link #observedAtMillis}. */
	private double delayMillis;

	private long observedAtMillis;

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
