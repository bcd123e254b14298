package org.eelgrasspitch.misc;

import java.util.concurrent.TimeUnit;

/**
 * Reads the clocks of the operating system.
 */
final class SystemTimeSource implements TimeSource {

	@Override
	public long monotonicMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	@Override
	public long wallMillis() {
		return System.currentTimeMillis();
	}

}
