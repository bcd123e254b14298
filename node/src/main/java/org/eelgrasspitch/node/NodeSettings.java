package org.eelgrasspitch.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.request.Guards;

/**
 * Settings of a node. {@link SettingsParser} defines defaults and ranges.
 *
 * @param vm name of the node's VM
 * @param failureDomain failure domain of the VM
 * @param service name of the service whose target runs on the VM
 * @param peerAddress listen address for other nodes
 * @param advertisedAddress address at which other nodes reach this node;
 * {@code peerAddress} unless set
 * @param callerAddress listen address for callers
 * @param operatorAddress listen address for operators
 * @param targetAddress address of the target
 * @param platformUrl base URL of the platform's configuration service, of scheme http
 * @param seeds addresses of nodes to contact before the VM list is known; may be empty
 * @param distribution how documents reach the node
 * @param platformCallsPerSecond rate limit of platform calls for the whole fleet, in
 * calls per second
 * @param recordCapacity maximum number of records of at-most-once requests
 * @param drainMillis maximum time that a leaving node waits for requests in flight, in
 * milliseconds; the node waits at least 1 second, also if this is less
 * @param pauseMillis gap in the node's own activity from which it counts as paused, in
 * milliseconds
 * @param startMillis maximum time to wait for peers before the first configuration text
 * is taken, in milliseconds
 * @param guards which overload protection is enabled
 */
public record NodeSettings(String vm, String failureDomain, String service, InetSocketAddress peerAddress,
		InetSocketAddress advertisedAddress, InetSocketAddress callerAddress, InetSocketAddress operatorAddress,
		InetSocketAddress targetAddress, String platformUrl, List<InetSocketAddress> seeds, Distribution distribution,
		int platformCallsPerSecond, int recordCapacity, int drainMillis, int pauseMillis, int startMillis,
		Guards guards) {

	/**
	 * Returns the local address for connections to other nodes.
	 * @return {@code peerAddress}, of which only the host is to be used; empty if the
	 * host is the wildcard address
	 */
	public Optional<InetSocketAddress> sourceAddress() {
		return this.peerAddress.getAddress().isAnyLocalAddress() ? Optional.empty() : Optional.of(this.peerAddress);
	}

}
