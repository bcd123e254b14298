package org.eelgrasspitch.proxy;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * The departure of the target of this VM, from the moment in which it becomes known: for
 * {@link #START_GRACE_MILLIS} what waits is still given to it, afterwards nothing is. A
 * target that is published as ready again has not departed.
 */
final class DrainTimer {

	/**
	 * How long calls are still given to the target: with the time until its leaving
	 * becomes known, below the time in which a target that leaves takes requests.
	 */
	private static final long START_GRACE_MILLIS = 1_000;

	private final EventLoop loop;

	/** What is done when nothing more is to be given to the target. */
	private final Runnable action;

	/** The coming end; null while the target stays. */
	private ScheduledFuture<?> expiry;

	private boolean expired;

	DrainTimer(EventLoop loop, Runnable action) {
		this.loop = loop;
		this.action = action;
	}

	/**
	 * Notes what is published of the target.
	 * @param available whether it is there and not leaving
	 */
	void targetPublished(boolean available) {
		if (available && this.expiry != null) {
			this.expiry.cancel(false);
			this.expiry = null;
			this.expired = false;
		}
		if (!available && this.expiry == null) {
			this.expiry = this.loop.schedule(this::expire, START_GRACE_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Tells whether nothing more is given to the target.
	 * @return true from the end of its last time on
	 */
	boolean isExpired() {
		return this.expired;
	}

	private void expire() {
		this.expired = true;
		this.action.run();
	}

}
