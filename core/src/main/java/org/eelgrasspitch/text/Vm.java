package org.eelgrasspitch.text;

import java.net.InetSocketAddress;

/**
 * One VM of the VM list. The list lags behind the truth and is only a hint.
 *
 * @param name name, unique in the list
 * @param failureDomain the failure domain it stands in
 * @param service the service whose target runs on it
 * @param address where its node accepts other nodes
 * @param leaving true when the platform says that it is about to go
 */
public record Vm(String name, String failureDomain, String service, InetSocketAddress address, boolean leaving) {

}
