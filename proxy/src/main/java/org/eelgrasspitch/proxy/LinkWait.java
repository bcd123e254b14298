package org.eelgrasspitch.proxy;

/**
 * How long a request waits for a link to a target, as after a change of the directory:
 * from the first look that finds no usable target.
 */
final class LinkWait {

	/** Interval at which a request without a usable target looks for one again. */
	static final long POLL_MILLIS = 40;

	private static final long MAX_MILLIS = 400;

	/** Monotonic time until which to wait; 0 before the first look. */
	private long untilMillis;

	/**
	 * Returns whether the request may look for a target again.
	 * @param now current monotonic time in milliseconds
	 * @return false if it has waited for the maximum time
	 */
	boolean mayGoOn(long now) {
		if (this.untilMillis == 0) {
			this.untilMillis = now + MAX_MILLIS;
		}
		return now < this.untilMillis;
	}

}
