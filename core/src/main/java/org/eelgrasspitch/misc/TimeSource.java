package org.eelgrasspitch.misc;

/**
 * Supplies time to decisions that must not read the system's clocks themselves.
 */
public interface TimeSource {

	/**
	 * Returns a monotonic reading that is only meaningful as a difference.
	 * @return the reading in milliseconds
	 */
	long monotonicMillis();

	/**
	 * Returns the wall clock.
	 * @return milliseconds since the Unix epoch
	 */
	long wallMillis();

	/**
	 * Returns the time source of the running system.
	 * @return a source backed by {@link System#nanoTime()} and
	 * {@link System#currentTimeMillis()}
	 */
	static TimeSource system() {
		return new SystemTimeSource();
	}

}
