package org.eelgrasspitch.proxy;

import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.eelgrasspitch.misc.TimeSource;

/**
 * What every part of the traffic side needs.
 *
 * @param settings what this node was told
 * @param names names of header fields
 * @param loop the event loop on which everything about requests happens
 * @param time source of time
 * @param random source of randomness
 * @param log the decision log
 * @param metrics counters and latencies
 */
record ProxyContext(ProxySettings settings, HeaderNames names, EventLoop loop, TimeSource time, RandomGenerator random,
		DecisionLog log, ProxyMetrics metrics) {

	long now() {
		return this.time.monotonicMillis();
	}

}
