package org.eelgrasspitch.proxy;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.eelgrasspitch.mesh.HandlingDelay;
import org.eelgrasspitch.misc.TimeSource;

/**
 * Observes how far the event loop that handles requests is behind. {@link HandlingDelay}
 * decides; this class runs its periodic task on the loop. A watch that was not started
 * takes the loop for one that keeps up.
 * <p>
 * Not thread-safe; must be used on the event loop.
 */
final class LoopWatch {

	private final EventLoop loop;

	private final TimeSource time;

	private final ProxyMetrics metrics;

	private final HandlingDelay delay = new HandlingDelay();

	/** Runs with the periodic task. */
	private Runnable tickListener = () -> {
	};

	LoopWatch(EventLoop loop, TimeSource time, ProxyMetrics metrics) {
		this.loop = loop;
		this.time = time;
		this.metrics = metrics;
	}

	/**
	 * Starts the periodic task. Called once, before the loop handles requests.
	 */
	void start() {
		this.delay.tick(this.time.monotonicMillis());
		this.loop.scheduleAtFixedRate(this::tick, HandlingDelay.TICK_INTERVAL_MILLIS,
				HandlingDelay.TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Sets what else is checked at each run of the periodic task.
	 * @param listener runs on the event loop
	 */
	void onTick(Runnable listener) {
		this.loop.execute(() -> this.tickListener = listener);
	}

	/**
	 * Returns whether what this node has read may be out of date, see
	 * {@link HandlingDelay#isBehind}.
	 * @return false while the loop keeps up
	 */
	boolean isBehind() {
		return this.delay.isBehind(this.time.monotonicMillis());
	}

	/**
	 * Returns how long a message waits at this node.
	 * @return the estimate in milliseconds
	 */
	double delayMillis() {
		return this.delay.currentMillis(this.time.monotonicMillis());
	}

	private void tick() {
		this.metrics.recordLoopDelay(this.delay.tick(this.time.monotonicMillis()));
		this.tickListener.run();
	}

}
