package org.eelgrasspitch.proxy;

/**
 * Decides which requests are logged although they went well. One request in two to the
 * power of a level is kept; the level follows the number of lines written, so that all
 * lines about requests stay within a bound. The choice depends on the request's
 * identifier alone: of two nodes with different levels, the one that keeps fewer requests
 * keeps a part of what the other one keeps.
 */
final class SampleRate {

	/** At this level, practically nothing is kept. */
	private static final int MAX_LEVEL = 20;

	/** Level after a start: one request in 16 is kept. */
	private static final int INITIAL_LEVEL = 4;

	/** The level falls when fewer lines than this part of the bound were written. */
	private static final int QUIET_DIVISOR = 4;

	private int level = INITIAL_LEVEL;

	private long second;

	private int lines;

	/**
	 * Tells whether a request is kept.
	 * @param requestId its identifier; calls that a target makes for a request are kept
	 * with it
	 * @return true when it belongs to the sample
	 */
	synchronized boolean isSampled(String requestId) {
		return Integer.numberOfTrailingZeros(mixBits(RequestIds.root(requestId).hashCode())) >= this.level;
	}

	/**
	 * Notes that a line was written.
	 * @param now the present second
	 * @param bound lines that are wanted in a second at most
	 */
	synchronized void recordLine(long now, int bound) {
		if (now != this.second) {
			adjust(now - this.second, bound);
			this.second = now;
			this.lines = 0;
		}
		this.lines++;
		if (this.lines > bound) {
			this.lines = 0;
			this.level = Math.min(MAX_LEVEL, this.level + 1);
		}
	}

	synchronized int level() {
		return this.level;
	}

	private void adjust(long seconds, int bound) {
		// All seconds but the last one that had lines were quiet.
		long quietSeconds = seconds - ((this.lines * QUIET_DIVISOR <= bound) ? 0 : 1);
		this.level = (int) Math.max(0, this.level - Math.min(quietSeconds, MAX_LEVEL));
	}

	/**
	 * Spreads a hash over all bits, by the last step of the Murmur3 hash.
	 * @param hash the hash
	 * @return the bits
	 */
	private static int mixBits(int hash) {
		int bits = hash;
		bits = (bits ^ (bits >>> 16)) * 0x85ebca6b;
		bits = (bits ^ (bits >>> 13)) * 0xc2b2ae35;
		return bits ^ (bits >>> 16);
	}

}
