package org.eelgrasspitch.mesh;

import java.util.OptionalLong;

/**
 * Decides when a node pulls a document from a peer that holds a newer revision.
 * <p>
 * Load pattern: a large document is on its way over a thin link for longer than the
 * interval of heartbeats, and every heartbeat of every peer shows that this node is
 * behind. If each of them led to a pull, the same document would be sent many times, the
 * links of this node and of its peers would stay full, and heartbeats and requests would
 * wait behind it. So a pull waits for the source or a push to deliver first, at most one
 * pull is in progress, and peers in the same failure domain are asked first, because
 * documents are large and traffic between failure domains is charged for.
 * <p>
 * Example: a peer's heartbeat at 0 ms shows a newer revision. The pull is due at
 * {@link #NEAR_DELAY_MILLIS}. It is dropped if a delta has arrived by then; otherwise it
 * is sent, and no further one until a delta arrives or {@link #TIMEOUT_MILLIS} have
 * passed.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class PullSchedule {

	/**
	 * Time for which a peer in the same failure domain may hold a newer revision before
	 * the document is pulled, in milliseconds.
	 */
	static final long NEAR_DELAY_MILLIS = 400;

	/** Same as {@link #NEAR_DELAY_MILLIS} for a peer in another failure domain. */
	static final long FAR_DELAY_MILLIS = 800;

	/** Time after which a pull that was not answered is given up, in milliseconds. */
	static final long TIMEOUT_MILLIS = 1_500;

	/** Value of the times below if they are not set. */
	private static final long UNSET = Long.MIN_VALUE;

	/** Time at which a pull from a near peer was scheduled, in milliseconds. */
	private long nearScheduledAtMillis = UNSET;

	/** Time at which a pull from a far peer was scheduled, in milliseconds. */
	private long farScheduledAtMillis = UNSET;

	/** Time at which the pull in progress was sent, in milliseconds. */
	private long sentAtMillis = UNSET;

	/**
	 * Schedules a pull because a peer holds a newer revision.
	 * @param near whether the peer is in this node's failure domain
	 * @param now current monotonic time in milliseconds
	 * @return delay in milliseconds after which to call {@link #start}; empty if a pull
	 * from such a peer is scheduled already
	 */
	public OptionalLong schedule(boolean near, long now) {
		if ((near ? this.nearScheduledAtMillis : this.farScheduledAtMillis) != UNSET) {
			return OptionalLong.empty();
		}
		setScheduledAtMillis(near, now);
		return OptionalLong.of(near ? NEAR_DELAY_MILLIS : FAR_DELAY_MILLIS);
	}

	/**
	 * Decides whether a scheduled pull is sent now. If it is not and a peer is still
	 * ahead, the next heartbeat of the peer schedules another one.
	 * @param near whether the peer is in this node's failure domain
	 * @param linkOpen whether the link to the peer is still open
	 * @param lastDeltaAtMillis monotonic time of the last delta, even an empty one, from
	 * the source or from a peer, in milliseconds; 0 before the first
	 * @param now current monotonic time in milliseconds
	 * @return true if the pull must be sent
	 */
	public boolean start(boolean near, boolean linkOpen, long lastDeltaAtMillis, long now) {
		long scheduledAtMillis = near ? this.nearScheduledAtMillis : this.farScheduledAtMillis;
		setScheduledAtMillis(near, UNSET);
		boolean inProgress = this.sentAtMillis != UNSET && now - this.sentAtMillis < TIMEOUT_MILLIS;
		if (!linkOpen || inProgress || lastDeltaAtMillis >= scheduledAtMillis) {
			return false;
		}
		this.sentAtMillis = now;
		return true;
	}

	/**
	 * Records that a delta arrived, so that no pull is in progress any more.
	 */
	public void deltaReceived() {
		this.sentAtMillis = UNSET;
	}

	private void setScheduledAtMillis(boolean near, long millis) {
		if (near) {
			this.nearScheduledAtMillis = millis;
			return;
		}
		this.farScheduledAtMillis = millis;
	}

}
