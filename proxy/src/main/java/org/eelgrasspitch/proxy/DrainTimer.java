package org.eelgrasspitch.proxy;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Drains the target on this VM once its entry is published as draining or is removed: for
 * {@link #DRAIN_GRACE_MILLIS} waiting and new calls are still sent to it, afterwards none
 * are. Draining ends when the target is published as available again.
 */
final class DrainTimer {

	/**
	 * Time for which calls are still sent to a draining target, in milliseconds. Together
	 * with the time until the draining entry is known here, it must stay below the time
	 * for which a draining target accepts requests.
	 */
	private static final long DRAIN_GRACE_MILLIS = 1_000;

	private final EventLoop loop;

	/** Run when no more calls may be sent to the target. */
	private final Runnable action;

	/** Scheduled or past expiry; null while the target is not draining. */
	private ScheduledFuture<?> expiry;

	private boolean expired;

	DrainTimer(EventLoop loop, Runnable action) {
		this.loop = loop;
		this.action = action;
	}

	/**
	 * Updates the timer with the published state of the target.
	 * @param available whether the target is published and not draining
	 */
	void updateAvailability(boolean available) {
		if (available && this.expiry != null) {
			this.expiry.cancel(false);
			this.expiry = null;
			this.expired = false;
		}
		if (!available && this.expiry == null) {
			this.expiry = this.loop.schedule(this::expire, DRAIN_GRACE_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Returns whether no more calls may be sent to the target.
	 * @return true from the expiry until the target is available again
	 */
	boolean isExpired() {
		return this.expired;
	}

	private void expire() {
		this.expired = true;
		this.action.run();
	}

}
