package org.eelgrasspitch.proxy;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * A one-shot timer on the event loop. Starting it again cancels the earlier task.
 */
final class RequestTimer {

	private final EventLoop loop;

	/** The latest task, also after it ran; null before the first start. */
	private ScheduledFuture<?> scheduled;

	RequestTimer(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Schedules a task.
	 * @param millis the delay in milliseconds; a negative delay counts as 0
	 * @param task the task
	 */
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
