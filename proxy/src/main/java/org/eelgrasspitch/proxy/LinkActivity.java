package org.eelgrasspitch.proxy;

/**
 * When a link was last used and when its peer was last heard. All times are monotonic, in
 * milliseconds.
 * <p>
 * Each side sends heartbeats: every {@link #HEARTBEAT_INTERVAL_MILLIS} to peers in its
 * failure domain and on a link that carries calls, otherwise every
 * {@link #IDLE_HEARTBEAT_INTERVAL_MILLIS}, because traffic between failure domains is
 * charged for. A link on which nothing has been received for the interval and
 * {@link #LOST_DELAY_MILLIS} more is lost; this detects crashed peers and half-open
 * connections.
 */
final class LinkActivity {

	/** Interval of heartbeats within a failure domain and on links in use. */
	static final long HEARTBEAT_INTERVAL_MILLIS = 500;

	/** Interval of heartbeats on an idle link between failure domains. */
	private static final long IDLE_HEARTBEAT_INTERVAL_MILLIS = 1_500;

	/** Time after the last call for which a link counts as in use. */
	private static final long IN_USE_MILLIS = 2_000;

	/**
	 * Delay of a heartbeat after which a link is not used for new calls. Covers the tick
	 * in which heartbeats are sent and a round trip.
	 */
	private static final long SUSPECT_DELAY_MILLIS = 300;

	/**
	 * Delay of a heartbeat after which a link is lost: one more heartbeat plus the
	 * scheduling delay of a slow machine.
	 */
	private static final long LOST_DELAY_MILLIS = 1_100;

	/** Whether the peer is in this node's failure domain; true until its hello. */
	private boolean near = true;

	private long lastReceivedAtMillis;

	/** Time at which the connection was opened. */
	private long openedAtMillis;

	/** Time of the last heartbeat to the peer; 0 before the first. */
	private long lastHeartbeatSentAtMillis;

	/** Time of the last call opened on this link in either direction. */
	private long lastCallAtMillis = Long.MIN_VALUE / 2;

	/** Time since which the link is in use; the peer sends frequent heartbeats since. */
	private long inUseSinceMillis = Long.MIN_VALUE / 2;

	void opened(long now) {
		this.openedAtMillis = now;
		this.lastReceivedAtMillis = now;
	}

	void received(long now) {
		this.lastReceivedAtMillis = now;
	}

	void heartbeatSent(long now) {
		this.lastHeartbeatSentAtMillis = now;
	}

	/**
	 * Records a call in either direction.
	 * @param carriesCalls whether other calls are in progress on the link
	 * @param now current time
	 */
	void callOpened(boolean carriesCalls, long now) {
		if (isIdle(carriesCalls, now) && !this.near) {
			this.inUseSinceMillis = now;
		}
		this.lastCallAtMillis = now;
	}

	void setNear(boolean newNear) {
		this.near = newNear;
	}

	boolean isNear() {
		return this.near;
	}

	long openedAtMillis() {
		return this.openedAtMillis;
	}

	long lastReceivedAtMillis() {
		return this.lastReceivedAtMillis;
	}

	long lastCallAtMillis() {
		return this.lastCallAtMillis;
	}

	/**
	 * Returns whether the link carries no call and has carried none lately.
	 * @param carriesCalls whether calls are in progress on the link
	 * @param now current time
	 * @return true if it is idle
	 */
	boolean isIdle(boolean carriesCalls, long now) {
		return !carriesCalls && now - this.lastCallAtMillis > IN_USE_MILLIS;
	}

	/**
	 * Returns whether the peer has been silent for so long that no call should be sent.
	 * @param carriesCalls whether calls are in progress on the link
	 * @param now current time
	 * @return true if the link is suspect
	 */
	boolean isSuspect(boolean carriesCalls, long now) {
		return silentMillis(now) > heartbeatIntervalMillis(carriesCalls, now) + SUSPECT_DELAY_MILLIS;
	}

	/**
	 * Returns whether the peer has been silent for so long that the link is lost.
	 * @param carriesCalls whether calls are in progress on the link
	 * @param now current time
	 * @return true if it must be closed
	 */
	boolean isLost(boolean carriesCalls, long now) {
		return silentMillis(now) > heartbeatIntervalMillis(carriesCalls, now) + LOST_DELAY_MILLIS;
	}

	boolean isHeartbeatDue(boolean carriesCalls, long now) {
		return now - this.lastHeartbeatSentAtMillis >= heartbeatIntervalMillis(carriesCalls, now);
	}

	private long heartbeatIntervalMillis(boolean carriesCalls, long now) {
		return (this.near || !isIdle(carriesCalls, now)) ? HEARTBEAT_INTERVAL_MILLIS : IDLE_HEARTBEAT_INTERVAL_MILLIS;
	}

	/**
	 * Returns the time for which no expected message has arrived. An idle link that is
	 * used again counts as not silent at first.
	 */
	private long silentMillis(long now) {
		return now - Math.max(this.lastReceivedAtMillis, this.inUseSinceMillis);
	}

}
