package org.eelgrasspitch.proxy;

import java.net.InetSocketAddress;

/**
 * Settings of a node of the streaming proxy.
 *
 * @param vm name of the node's VM
 * @param failureDomain failure domain of the node
 * @param service name of the service whose target runs on this VM
 * @param entryAddress address on which callers and the target send requests
 * @param readinessAddress address of the readiness check
 * @param linkAddress address on which peers connect; the port is the same on every VM
 * @param metricsAddress address on which metrics are served
 * @param targetAddress address on which the target of this VM listens
 * @param sourceAddress address of the source of published documents
 * @param linkCapacityMegabits capacity of this VM's network link in megabits per second;
 * 0 if unknown
 * @param stopMillis time in milliseconds from the stop signal until the process is killed
 * @param retryRatio maximum ratio of retries to requests in a window, 0 to 1, across the
 * fleet
 * @param retryMinimum number of retries allowed in addition per window, across the fleet
 * @param retryWindowMillis length of that window in milliseconds
 * @param drainMillis time in milliseconds for which a target that is leaving may get new
 * requests
 * @param settleMillis time in milliseconds after which a limit that a target names must
 * be kept
 * @param logDetail how much is logged about requests
 * @param logLinesPerSecond usual maximum of log lines about requests per second
 */
public record ProxySettings(String vm, String failureDomain, String service, InetSocketAddress entryAddress,
		InetSocketAddress readinessAddress, InetSocketAddress linkAddress, InetSocketAddress metricsAddress,
		InetSocketAddress targetAddress, InetSocketAddress sourceAddress, int linkCapacityMegabits, long stopMillis,
		double retryRatio, double retryMinimum, long retryWindowMillis, long drainMillis, long settleMillis,
		LogDetail logDetail, int logLinesPerSecond) {

	/** Default of {@code drainMillis}. */
	public static final long DEFAULT_DRAIN_MILLIS = 2_000;

	/** Default of {@code settleMillis}. */
	public static final long DEFAULT_SETTLE_MILLIS = 3_000;

	/**
	 * Default of {@code logLinesPerSecond}: enough for the lines of two or three requests
	 * per second, at less than 3% of the CPU time of a node in normal operation.
	 */
	public static final int DEFAULT_LOG_LINES_PER_SECOND = 10;

}
