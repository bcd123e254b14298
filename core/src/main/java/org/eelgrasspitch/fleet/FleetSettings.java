package org.eelgrasspitch.fleet;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Identity, intervals and timeouts of a {@link FleetMember}. Times are in milliseconds.
 *
 * @param self this node
 * @param seeds addresses of nodes to contact before a VM list is known; may be empty
 * @param distribution distribution strategy
 * @param platformCallsPerSecond rate limit of platform calls for the whole fleet, in
 * calls per second
 * @param tickMillis expected time between {@link FleetEvent.Ticked} events
 * @param pauseMillis time between events from which the process counts as paused
 * @param startMillis maximum wait for peers before the first text is accepted; 0 to
 * accept one at once
 * @param confirmMillis maximum time that requests wait for a confirmation
 * @param evidenceMillis age at which evidence expires
 * @param heartbeatMillis interval of the heartbeats on inbound links; six times as long
 * on outbound links
 * @param silenceMillis time without a message after which an outbound link is closed and
 * its peer suspected; inbound links are closed after six times as long, and their
 * addresses are not suspected
 * @param textWatchMillis maximum wait of a watch on the text
 * @param vmsWatchMillis maximum wait of a watch on the VM list
 * @param pullMillis timeout of a pull
 * @param standbyMillis age of the evidence from which the second reader of a failure
 * domain also watches the text
 */
public record FleetSettings(Peer self, List<InetSocketAddress> seeds, Distribution distribution,
		double platformCallsPerSecond, long tickMillis, long pauseMillis, long startMillis, long confirmMillis,
		long evidenceMillis, long heartbeatMillis, long silenceMillis, long textWatchMillis, long vmsWatchMillis,
		long pullMillis, long standbyMillis) {

	/** Default rate limit of a fleet, in calls per second; the platform allows 2,000. */
	public static final double DEFAULT_PLATFORM_CALLS_PER_SECOND = 200;

	/**
	 * Returns settings with the default intervals and timeouts, in milliseconds: tick
	 * 100, pause 1,000, start 1,500, confirm 800, evidence 15,000, heartbeat 2,000,
	 * silence 5,000, text watch 5,000, VM list watch 10,000, pull 3,000, standby 8,000.
	 * The rate limit is {@link #DEFAULT_PLATFORM_CALLS_PER_SECOND}.
	 * @param self this node
	 * @param seeds addresses of nodes to contact first; may be empty
	 * @param distribution distribution strategy
	 * @return the settings
	 */
	public static FleetSettings of(Peer self, List<InetSocketAddress> seeds, Distribution distribution) {
		return new FleetSettings(self, List.copyOf(seeds), distribution, DEFAULT_PLATFORM_CALLS_PER_SECOND, 100, 1_000,
				1_500, 800, 15_000, 2_000, 5_000, 5_000, 10_000, 3_000, 8_000);
	}

	/**
	 * Returns these settings with another rate limit of platform calls.
	 * @param callsPerSecond rate limit for the whole fleet, in calls per second
	 * @return the changed settings
	 */
	public FleetSettings withPlatformCalls(double callsPerSecond) {
		return with(callsPerSecond, this.pauseMillis, this.startMillis);
	}

	/**
	 * Returns these settings with another pause threshold.
	 * @param millis time between events from which the process counts as paused
	 * @return the changed settings
	 */
	public FleetSettings withPauseMillis(long millis) {
		return with(this.platformCallsPerSecond, millis, this.startMillis);
	}

	/**
	 * Returns these settings with another start timeout.
	 * @param millis maximum wait for peers before the first text is accepted; 0 to accept
	 * one at once
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
