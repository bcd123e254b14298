package org.eelgrasspitch.text;

import java.net.InetSocketAddress;

/**
 * An entry of the VM list. The list may lag behind the actual VMs, so an entry does not
 * prove that the VM exists or is live.
 *
 * @param name the name, unique in the list
 * @param failureDomain the failure domain to which the VM belongs
 * @param service the service whose target runs on it
 * @param address address at which its node accepts connections from other nodes
 * @param leaving true when the platform reports that the VM is about to be removed
 */
public record Vm(String name, String failureDomain, String service, InetSocketAddress address, boolean leaving) {

}
