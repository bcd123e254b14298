package org.eelgrasspitch.fleet;

import java.net.InetSocketAddress;

/**
 * The node at the other end of a link, as it introduced itself.
 *
 * @param vm name of its VM
 * @param failureDomain its failure domain
 * @param address where it accepts other nodes
 * @param incarnation distinguishes its process from earlier ones on the same VM
 */
public record Peer(String vm, String failureDomain, InetSocketAddress address, long incarnation) {

}
