package org.eelgrasspitch.misc;

/**
 * Clock abstraction. Code that takes a time source instead of reading the system clocks
 * can be tested with simulated time.
 */
public interface TimeSource {

	/**
	 * Returns the monotonic clock. Its origin is arbitrary; only the difference of two
	 * readings has a meaning.
	 * @return the reading in milliseconds
	 */
	long monotonicMillis();

	/**
	 * Returns the wall-clock time.
	 * @return milliseconds since the Unix epoch
	 */
	long wallMillis();

	/**
	 * Returns the system time source.
	 * @return a time source that reads {@link System#nanoTime()} and
	 * {@link System#currentTimeMillis()}
	 */
	static TimeSource system() {
		return new SystemTimeSource();
	}

}
