package org.eelgrasspitch.proxy;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * Drains the target on this VM once its entry is published as draining or is removed: for
 * a part of its drain time waiting and new calls are still sent to it, afterwards none
 * are. Draining ends when the target is published as available again.
 */
final class DrainTimer {

	/**
	 * Maximum time for which calls are still sent to a draining target, in milliseconds;
	 * longer waits gain nothing, because other targets are chosen by then.
	 */
	private static final long MAX_GRACE_MILLIS = 1_000;

	/**
	 * Share of the time for which a draining target accepts requests in which calls are
	 * sent. The rest is left to the time until its leaving is known here.
	 */
	private static final double GRACE_SHARE = 0.5;

	private final EventLoop loop;

	private final long graceMillis;

	/** Run when no more calls may be sent to the target. */
	private final Runnable action;

	/** Scheduled or past expiry; null while the target is not draining. */
	private ScheduledFuture<?> expiry;

	/**
	 * Creates a timer.
	 * @param loop event loop of the home
	 * @param drainMillis time for which a draining target accepts requests, in
	 * milliseconds
	 * @param action run when no more calls may be sent to the target
	 */
	DrainTimer(EventLoop loop, long drainMillis, Runnable action) {
		this.loop = loop;
		this.graceMillis = Math.min(MAX_GRACE_MILLIS, (long) (GRACE_SHARE * drainMillis));
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
		}
		if (!available && this.expiry == null) {
			this.expiry = this.loop.schedule(this.action, this.graceMillis, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Returns whether no more calls may be sent to the target.
	 * @return true from the expiry until the target is available again, also while a busy
	 * event loop has not run the action yet
	 */
	boolean isExpired() {
		return this.expiry != null && this.expiry.getDelay(TimeUnit.MILLISECONDS) <= 0;
	}

}
