package org.eelgrasspitch.proxy;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * The departure of the target of this VM, from the moment in which it becomes known: for
 * {@link #LAST_START_MILLIS} what waits is still given to it, afterwards nothing is. A
 * target that is published as ready again has not departed.
 */
final class Departure {

	/**
	 * How long calls are still given to the target: with the time until its leaving
	 * becomes known, below the time in which a target that leaves takes requests.
	 */
	private static final long LAST_START_MILLIS = 1_000;

	private final EventLoop loop;

	/** What is done when nothing more is to be given to the target. */
	private final Runnable action;

	/** The coming end; null while the target stays. */
	private ScheduledFuture<?> end;

	private boolean over;

	Departure(EventLoop loop, Runnable action) {
		this.loop = loop;
		this.action = action;
	}

	/**
	 * Notes what is published of the target.
	 * @param stays whether it is there and not leaving
	 */
	void published(boolean stays) {
		if (stays && this.end != null) {
			this.end.cancel(false);
			this.end = null;
			this.over = false;
		}
		if (!stays && this.end == null) {
			this.end = this.loop.schedule(this::depart, LAST_START_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Tells whether nothing more is given to the target.
	 * @return true from the end of its last time on
	 */
	boolean isOver() {
		return this.over;
	}

	private void depart() {
		this.over = true;
		this.action.run();
	}

}
