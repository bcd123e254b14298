package org.eelgrasspitch.fleet;

import java.net.InetSocketAddress;

/**
 * Identity of a node, as sent in the handshake of a link.
 *
 * @param vm name of its VM
 * @param failureDomain its failure domain
 * @param address address at which it accepts links from other nodes
 * @param incarnation number that distinguishes its process from earlier ones on the same
 * VM
 */
public record Peer(String vm, String failureDomain, InetSocketAddress address, long incarnation) {

}
