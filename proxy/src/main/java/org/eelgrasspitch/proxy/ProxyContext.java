package org.eelgrasspitch.proxy;

import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import org.eelgrasspitch.misc.TimeSource;

/**
 * Dependencies shared by the components that handle requests.
 *
 * @param settings settings at the start of this node
 * @param names names of the HTTP header fields
 * @param loop event loop on which all requests are handled
 * @param time clock
 * @param random random number generator
 * @param log decision log
 * @param metrics counters and latency histograms
 * @param watch tells how far the event loop is behind
 */
record ProxyContext(ProxySettings settings, HeaderNames names, EventLoop loop, TimeSource time, RandomGenerator random,
		DecisionLog log, ProxyMetrics metrics, LoopWatch watch) {

	ProxyContext(ProxySettings settings, HeaderNames names, EventLoop loop, TimeSource time, RandomGenerator random,
			DecisionLog log, ProxyMetrics metrics) {
		this(settings, names, loop, time, random, log, metrics, new LoopWatch(loop, time, metrics));
	}

	/**
	 * Returns the current monotonic time.
	 * @return the time in milliseconds
	 */
	long now() {
		return this.time.monotonicMillis();
	}

}
