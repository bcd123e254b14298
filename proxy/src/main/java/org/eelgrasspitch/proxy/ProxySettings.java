package org.eelgrasspitch.proxy;

import java.net.InetSocketAddress;

/**
 * What a node of the streaming proxy is told at its start.
 *
 * @param vm name of its VM
 * @param failureDomain its failure domain
 * @param service name of the service whose target runs on this VM
 * @param entryAddress where callers and the target send their requests
 * @param readinessAddress where the deployment asks whether this node is ready
 * @param linkAddress where peers reach this node; the port is the same on every VM
 * @param metricsAddress where metrics are served
 * @param targetAddress where the target of this VM listens
 * @param sourceAddress where the published documents are read
 * @param stopMillis time from the signal to stop until the process is ended by force
 * @param retryRatio repeats allowed for each request, over the whole fleet
 * @param retryMinimum repeats allowed besides, in one window, over the whole fleet
 * @param retryWindowMillis length of that window
 * @param logDetail how much is logged about requests
 * @param logLinesPerSecond lines about requests in a second, usually at most
 */
public record ProxySettings(String vm, String failureDomain, String service, InetSocketAddress entryAddress,
		InetSocketAddress readinessAddress, InetSocketAddress linkAddress, InetSocketAddress metricsAddress,
		InetSocketAddress targetAddress, InetSocketAddress sourceAddress, long stopMillis, double retryRatio,
		double retryMinimum, long retryWindowMillis, LogDetail logDetail, int logLinesPerSecond) {

	/**
	 * Lines about requests in a second when the settings name none: two or three whole
	 * requests, at a cost below three percent of a calm node's processor time.
	 */
	public static final int DEFAULT_LOG_LINES = 10;

}
