package org.eelgrasspitch.mesh;

import java.net.InetSocketAddress;

/**
 * What a target has published about itself.
 *
 * @param id identifier of the target; kept over a restart
 * @param service name of the service that it runs
 * @param address where it listens; only processes on its own VM can reach it
 * @param failureDomain its failure domain
 * @param slots requests that it runs at a time
 * @param draining whether it has announced that it is leaving
 * @param coldMillis how much longer it stays slow after its start, as of its last entry
 * @param sequence number of the entry within this life of the target
 * @param startUnixMillis start of this life, in Unix milliseconds; 0 when it does not say
 */
public record TargetEntry(String id, String service, InetSocketAddress address, String failureDomain, int slots,
		boolean draining, long coldMillis, long sequence, long startUnixMillis) {

	/**
	 * Tells whether this entry was written before another one of the same target.
	 * @param other the other entry
	 * @return true when it comes from an earlier life, or earlier in the same life
	 */
	public boolean isOlderThan(TargetEntry other) {
		if (this.startUnixMillis != other.startUnixMillis) {
			return this.startUnixMillis < other.startUnixMillis;
		}
		return this.sequence < other.sequence;
	}

}
