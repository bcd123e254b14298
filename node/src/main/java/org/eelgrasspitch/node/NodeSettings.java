package org.eelgrasspitch.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.request.Guards;

/**
 * What a node is told when it starts.
 *
 * @param vm name of its VM
 * @param failureDomain its failure domain
 * @param service the service whose target runs on the VM
 * @param peerAddress where it accepts other nodes
 * @param advertisedAddress where other nodes reach it
 * @param callerAddress where it accepts callers
 * @param operatorAddress where it accepts operators
 * @param targetAddress where its target listens
 * @param platformUrl base URL of the platform's configuration service
 * @param seeds nodes to ask before the VM list is known
 * @param distribution how documents reach the node
 * @param platformCallsPerSecond the fleet's share of the platform's capacity
 * @param recordCapacity most records of at-most-once requests kept
 * @param drainMillis longest time that a leaving node waits for requests in flight, in
 * milliseconds
 * @param pauseMillis gap in its own activity from which the node counts as paused, in
 * milliseconds
 * @param startMillis longest wait for peers before the first text is taken, in
 * milliseconds
 * @param guards whether targets are protected under overload
 */
public record NodeSettings(String vm, String failureDomain, String service, InetSocketAddress peerAddress,
		InetSocketAddress advertisedAddress, InetSocketAddress callerAddress, InetSocketAddress operatorAddress,
		InetSocketAddress targetAddress, String platformUrl, List<InetSocketAddress> seeds, Distribution distribution,
		int platformCallsPerSecond, int recordCapacity, int drainMillis, int pauseMillis, int startMillis,
		Guards guards) {

	/**
	 * Returns the local address for connections to other nodes.
	 * @return the host of {@code peerAddress}; empty when that is unspecified
	 */
	public Optional<InetSocketAddress> sourceAddress() {
		return this.peerAddress.getAddress().isAnyLocalAddress() ? Optional.empty() : Optional.of(this.peerAddress);
	}

}
