package org.eelgrasspitch.fleet;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Who a {@link FleetMember} is, and its bounds. Times are in milliseconds.
 *
 * @param self this node
 * @param seeds nodes to ask before any VM list is known; may be empty
 * @param distribution how documents reach this node
 * @param platformCallsPerSecond share of the platform's capacity that the whole fleet may
 * use, in calls per second
 * @param tickMillis expected time between {@link FleetEvent.Ticked} events
 * @param pauseMillis gap between events from which the process counts as paused
 * @param startMillis longest wait for peers before the first version is held
 * @param confirmMillis longest time that requests wait for a confirmation
 * @param evidenceMillis age from which evidence no longer confirms
 * @param heartbeatMillis time between heartbeats to subscribers
 * @param silenceMillis silence after which a peer that should send heartbeats is
 * suspected
 * @param textWatchMillis longest wait of a watch on the text
 * @param vmsWatchMillis longest wait of a watch on the VM list
 * @param pullMillis longest wait for the answer to a pull
 * @param standbyMillis age of the evidence from which the second reader of a failure
 * domain watches the text as well
 */
public record FleetSettings(Peer self, List<InetSocketAddress> seeds, Distribution distribution,
		double platformCallsPerSecond, long tickMillis, long pauseMillis, long startMillis, long confirmMillis,
		long evidenceMillis, long heartbeatMillis, long silenceMillis, long textWatchMillis, long vmsWatchMillis,
		long pullMillis, long standbyMillis) {

	/** Share of the platform's 2,000 calls a second that a fleet takes by default. */
	public static final double DEFAULT_PLATFORM_CALLS_PER_SECOND = 200;

	/**
	 * Returns settings with the default bounds.
	 * @param self this node
	 * @param seeds nodes to ask first
	 * @param distribution how documents reach this node
	 * @return the settings
	 */
	public static FleetSettings of(Peer self, List<InetSocketAddress> seeds, Distribution distribution) {
		return new FleetSettings(self, List.copyOf(seeds), distribution, DEFAULT_PLATFORM_CALLS_PER_SECOND, 100, 1_000,
				1_500, 800, 15_000, 2_000, 5_000, 5_000, 10_000, 3_000, 8_000);
	}

	/**
	 * Returns these settings with another share of the platform.
	 * @param callsPerSecond the whole fleet's share, in calls per second
	 * @return the changed settings
	 */
	public FleetSettings withPlatformCalls(double callsPerSecond) {
		return with(callsPerSecond, this.pauseMillis, this.startMillis);
	}

	/**
	 * Returns these settings with another pause bound.
	 * @param millis gap between events from which the process counts as paused
	 * @return the changed settings
	 */
	public FleetSettings withPauseMillis(long millis) {
		return with(this.platformCallsPerSecond, millis, this.startMillis);
	}

	/**
	 * Returns these settings with another wait for peers at the start.
	 * @param millis longest wait before the first text is taken; 0 asks nobody
	 * @return the changed settings
	 */
	public FleetSettings withStartMillis(long millis) {
		return with(this.platformCallsPerSecond, this.pauseMillis, millis);
	}

	private FleetSettings with(double callsPerSecond, long pause, long start) {
		return new FleetSettings(this.self, this.seeds, this.distribution, callsPerSecond, this.tickMillis, pause,
				start, this.confirmMillis, this.evidenceMillis, this.heartbeatMillis, this.silenceMillis,
				this.textWatchMillis, this.vmsWatchMillis, this.pullMillis, this.standbyMillis);
	}

}
