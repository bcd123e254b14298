package org.eelgrasspitch.mesh;

/**
 * Planned stop of a node: decides what the node still accepts, when it tells the callers
 * that are left, and when it may close.
 * <p>
 * Load pattern: nodes are stopped in turn while the load goes on, so that calls arrive at
 * a node from entry nodes that stop as well, and callers keep sending to a node until
 * they have noticed that it is not ready.
 * <p>
 * A node has two roles, entry node and home, and its end concerns both. While the stop is
 * {@link Stage#LEAVING}, each role accepts for a time of its own: callers need
 * {@link #callerDrainMillis()} to move to other nodes, and the target is used for a while
 * longer. From {@link Stage#REFUSING} on neither role accepts anything, whatever its time
 * was. A node enters {@link Stage#CLOSING} only after it has had nothing to do in that
 * stage for {@link #QUIET_MILLIS}, so nothing can be accepted between the check and the
 * close. Responses that wait to be written count as work. The node then ends its
 * connections and waits for the other sides to do so as well, because what a socket has
 * taken is lost if its process ends before the other side has read it.
 * <p>
 * A node that does not become idle enters {@link Stage#ANSWERING} shortly before it is
 * killed: every request that is left gets a final response, one that has not run a
 * refusal. All times are bounded by shares of the time to stop, so their order is the
 * same for every setting.
 * <p>
 * Work that cannot end before the last answers is refused while that is still true, see
 * {@link #endsInTime}, because it would be cut off.
 * <p>
 * Example: a node with 10 s to stop has its last request answered after 2.2 s. At 2.3 s
 * it refuses requests and calls, at 2.4 s it ends its connections, and it closes a round
 * trip later. If a call arrives at 2.35 s, it is refused and has not run.
 * <p>
 * Not thread-safe; used only on the event loop that accepts requests and calls.
 */
public final class StopSequence {

	/** Maximum time within which callers move to other nodes, in milliseconds. */
	private static final long MAX_CALLER_DRAIN_MILLIS = 2_300;

	/** Maximum time for which requests of callers are accepted, in milliseconds. */
	private static final long MAX_REQUEST_ACCEPT_MILLIS = 2_800;

	/** Maximum share of the time to stop within which callers move to other nodes. */
	private static final double CALLER_DRAIN_SHARE = 0.4;

	/** Maximum share of the time to stop in which requests are accepted. */
	private static final double REQUEST_ACCEPT_SHARE = 0.5;

	/**
	 * Share of the time to stop in which the home accepts calls. Long enough to shorten
	 * the gap until the next start, and short enough for nearly all of these calls to end
	 * in the remaining time.
	 */
	private static final double CALL_ACCEPT_SHARE = 0.25;

	/** Maximum time before the kill at which final responses are sent. */
	private static final long MAX_ANSWER_RESERVE_MILLIS = 600;

	/** Maximum time before the kill at which the node closes. */
	private static final long MAX_CLOSE_RESERVE_MILLIS = 400;

	/** Maximum share of the time to stop that is left when final responses are sent. */
	private static final double ANSWER_RESERVE_SHARE = 0.15;

	/** Maximum share of the time to stop that is left when the node closes. */
	private static final double CLOSE_RESERVE_SHARE = 0.1;

	/**
	 * Time for which a node that refuses everything must have had nothing to do before it
	 * closes. Requests that were on their way are refused meanwhile.
	 */
	static final long QUIET_MILLIS = 100;

	/**
	 * Factor on the expected time of work that must fit before the last answers. The
	 * expected time is an average, and work that is cut off cannot be taken back.
	 */
	private static final double EXPECTED_TIME_MARGIN = 1.2;

	/** Maximum time for the other sides to close the connections. */
	private static final long MAX_CLOSING_MILLIS = 1_000;

	private final long startedAtMillis;

	private final long stopMillis;

	private Stage stage = Stage.LEAVING;

	/** Time since which nothing is accepted and there is no work; 0 while there is. */
	private long quietSinceMillis;

	/** Time at which the current stage began; 0 in the first one. */
	private long stageSinceMillis;

	/**
	 * Begins the stop.
	 * @param stopMillis time from the signal until the process is killed, in milliseconds
	 * @param now current monotonic time in milliseconds
	 */
	public StopSequence(long stopMillis, long now) {
		this.startedAtMillis = now;
		this.stopMillis = stopMillis;
	}

	/**
	 * Enters the next stage if time and work permit. Each call enters one stage at most,
	 * so that none is left out when a call comes late.
	 * @param work what the node has accepted and not finished
	 * @param now current monotonic time in milliseconds
	 * @return the current stage
	 */
	public Stage advance(Work work, long now) {
		Stage next = next(work, now);
		if (next != this.stage) {
			this.quietSinceMillis = (next == Stage.REFUSING) ? now : 0;
			this.stageSinceMillis = now;
		}
		this.stage = next;
		return this.stage;
	}

	private Stage next(Work work, long now) {
		return switch (this.stage) {
			case LEAVING -> {
				boolean idle = now - this.startedAtMillis >= callerDrainMillis() && work.isNone();
				yield (now >= answersAtMillis()) ? Stage.ANSWERING : idle ? Stage.REFUSING : Stage.LEAVING;
			}
			case REFUSING ->
				(now >= answersAtMillis()) ? Stage.ANSWERING : isQuiet(work, now) ? Stage.CLOSING : Stage.REFUSING;
			case ANSWERING ->
				(now >= closesAtMillis()) ? Stage.CLOSED : isQuiet(work, now) ? Stage.CLOSING : Stage.ANSWERING;
			case CLOSING -> isClosed(work, now) ? Stage.CLOSED : Stage.CLOSING;
			case CLOSED -> Stage.CLOSED;
		};
	}

	private boolean isClosed(Work work, long now) {
		return work.isDelivered() || now - this.stageSinceMillis >= MAX_CLOSING_MILLIS || now >= closesAtMillis();
	}

	private boolean isQuiet(Work work, long now) {
		if (!work.isNone()) {
			this.quietSinceMillis = 0;
			return false;
		}
		this.quietSinceMillis = (this.quietSinceMillis != 0) ? this.quietSinceMillis : now;
		return now - this.quietSinceMillis >= QUIET_MILLIS;
	}

	/**
	 * Returns whether a request of a caller is accepted.
	 * @param now current monotonic time in milliseconds
	 * @return false if it must be refused
	 */
	public boolean acceptsRequests(long now) {
		return this.stage == Stage.LEAVING
				&& now - this.startedAtMillis <= bounded(MAX_REQUEST_ACCEPT_MILLIS, REQUEST_ACCEPT_SHARE);
	}

	/**
	 * Returns whether the home accepts a call for its target.
	 * @param now current monotonic time in milliseconds
	 * @return false if it must be refused
	 */
	public boolean acceptsCalls(long now) {
		return this.stage == Stage.LEAVING && now - this.startedAtMillis < callAcceptMillis();
	}

	/**
	 * Returns whether work that starts now is expected to end in time. Work that is not
	 * must be refused while it has not run: when it arrives, and again when it is its
	 * turn to start.
	 * @param expectedMillis its expected service time in milliseconds
	 * @param endAtMillis monotonic time in milliseconds at which the last answers are
	 * due, see {@link #answersAtMillis()}; {@link Long#MAX_VALUE} if no node is stopping
	 * @param now current monotonic time in milliseconds
	 * @return false if it must not start
	 */
	public static boolean endsInTime(double expectedMillis, long endAtMillis, long now) {
		return now + EXPECTED_TIME_MARGIN * expectedMillis <= endAtMillis;
	}

	/**
	 * Returns how long callers take to move to other nodes after the signal.
	 * @return the time in milliseconds
	 */
	public long callerDrainMillis() {
		return bounded(MAX_CALLER_DRAIN_MILLIS, CALLER_DRAIN_SHARE);
	}

	/**
	 * Returns how long the home accepts calls after the signal, unless the node refuses
	 * everything earlier.
	 * @return the time in milliseconds
	 */
	private long callAcceptMillis() {
		return (long) (CALL_ACCEPT_SHARE * this.stopMillis);
	}

	/**
	 * Returns when the requests that are left get a final response. Nothing that would
	 * take longer can be served.
	 * @return monotonic time in milliseconds
	 */
	public long answersAtMillis() {
		return this.startedAtMillis + this.stopMillis - bounded(MAX_ANSWER_RESERVE_MILLIS, ANSWER_RESERVE_SHARE);
	}

	/**
	 * Returns when the node closes at the latest.
	 * @return monotonic time in milliseconds
	 */
	public long closesAtMillis() {
		return this.startedAtMillis + this.stopMillis - bounded(MAX_CLOSE_RESERVE_MILLIS, CLOSE_RESERVE_SHARE);
	}

	private long bounded(long maxMillis, double share) {
		return Math.min(maxMillis, (long) (share * this.stopMillis));
	}

	/**
	 * Stage of a stop. A node never returns to an earlier one.
	 */
	public enum Stage {

		/** Not ready any more; requests and calls are accepted for a time. */
		LEAVING,

		/** Nothing was in progress; nothing is accepted. */
		REFUSING,

		/** The time is nearly over; requests in progress get a final response. */
		ANSWERING,

		/**
		 * Nothing is left to do; the connections are ended, and the other sides are to
		 * close them.
		 */
		CLOSING,

		/** The node may close. */
		CLOSED

	}

	/**
	 * What a node has accepted and not finished.
	 *
	 * @param requests requests of callers without a complete response
	 * @param calls calls that run at the target of this VM or wait for it
	 * @param unwrittenBytes bytes of responses that wait to be sent to callers and peers
	 * @param endedConnections connections that this node has ended and the other side has
	 * not closed yet
	 */
	public record Work(int requests, int calls, long unwrittenBytes, int endedConnections) {

		/**
		 * Returns whether closing the node would interrupt nothing.
		 * @return true if there is no work
		 */
		public boolean isNone() {
			return this.requests == 0 && this.calls == 0 && this.unwrittenBytes == 0;
		}

		/**
		 * Returns whether the other sides have read all that they were sent.
		 * @return true if there is no work and no ended connection is open
		 */
		public boolean isDelivered() {
			return isNone() && this.endedConnections == 0;
		}

	}

}
