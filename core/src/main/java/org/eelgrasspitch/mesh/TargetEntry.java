package org.eelgrasspitch.mesh;

import java.net.InetSocketAddress;

/**
 * Entry that a target publishes about itself.
 *
 * @param id identifier of the target; unchanged by a restart
 * @param service name of the service that it runs
 * @param address address on which it listens; reachable only from its own VM
 * @param failureDomain failure domain of the target
 * @param slots maximum number of requests that it runs concurrently
 * @param draining whether it has announced that it is about to stop
 * @param coldMillis remaining warm-up time in milliseconds, as of this entry
 * @param sequence sequence number of the entry since the target's start
 * @param startUnixMillis start of the target, in Unix milliseconds; 0 if not published
 */
public record TargetEntry(String id, String service, InetSocketAddress address, String failureDomain, int slots,
		boolean draining, long coldMillis, long sequence, long startUnixMillis) {

	/**
	 * Returns whether this entry was written before another entry of the same target.
	 * @param other the other entry
	 * @return true if it has an earlier start time, or the same start time and a smaller
	 * sequence number
	 */
	public boolean isOlderThan(TargetEntry other) {
		if (this.startUnixMillis != other.startUnixMillis) {
			return this.startUnixMillis < other.startUnixMillis;
		}
		return this.sequence < other.sequence;
	}

}
