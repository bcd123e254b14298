package org.eelgrasspitch.proxy;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * A timer of a request. Starting it again replaces what it would have done.
 */
final class RequestTimer {

	private final EventLoop loop;

	/** What is due; null before the first start. */
	private ScheduledFuture<?> scheduled;

	RequestTimer(EventLoop loop) {
		this.loop = loop;
	}

	void start(long millis, Runnable task) {
		cancel();
		this.scheduled = this.loop.schedule(task, Math.max(0, millis), TimeUnit.MILLISECONDS);
	}

	void cancel() {
		if (this.scheduled != null) {
			this.scheduled.cancel(false);
		}
	}

}
