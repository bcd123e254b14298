package org.eelgrasspitch.proxy;

/**
 * Adaptive sampling of successful requests for the log. One request in 2^level is
 * sampled. The level rises and falls with the number of lines written, so that all lines
 * about requests stay within a limit.
 * <p>
 * The choice depends only on a hash of the request's identifier. Of two nodes with
 * different levels, the one with the higher level samples a subset of the other's
 * requests.
 */
final class RequestSampler {

	/** Maximum level; about one request in a million is sampled. */
	private static final int MAX_LEVEL = 20;

	/** Level after a start; one request in 16 is sampled. */
	private static final int INITIAL_LEVEL = 4;

	/**
	 * The level falls by 1 after a second in which at most 1/QUIET_DIVISOR of the limit
	 * was written since the level last rose.
	 */
	private static final int QUIET_DIVISOR = 4;

	private int level = INITIAL_LEVEL;

	/** Monotonic second of the latest line. */
	private long second;

	/** Lines in that second since the level last rose. */
	private int lines;

	/**
	 * Returns whether a request is sampled. Nested calls are sampled with the caller's
	 * request to which they belong.
	 * @param requestId identifier of the request or nested call
	 * @return true if it is sampled
	 */
	synchronized boolean isSampled(String requestId) {
		return Integer.numberOfTrailingZeros(mixBits(RequestIds.root(requestId).hashCode())) >= this.level;
	}

	/**
	 * Records a written line and adjusts the level.
	 * @param nowSeconds the current monotonic time in seconds
	 * @param maxLines the limit in lines per second
	 */
	synchronized void recordLine(long nowSeconds, int maxLines) {
		if (nowSeconds != this.second) {
			adjust(nowSeconds - this.second, maxLines);
			this.second = nowSeconds;
			this.lines = 0;
		}
		this.lines++;
		if (this.lines > maxLines) {
			this.lines = 0;
			this.level = Math.min(MAX_LEVEL, this.level + 1);
		}
	}

	synchronized int level() {
		return this.level;
	}

	private void adjust(long seconds, int maxLines) {
		// Only the recorded second had lines; the later ones were all quiet.
		long quietSeconds = seconds - ((this.lines * QUIET_DIVISOR <= maxLines) ? 0 : 1);
		this.level = (int) Math.max(0, this.level - Math.min(quietSeconds, MAX_LEVEL));
	}

	/**
	 * Mixes the bits of a hash with the finalizer of MurmurHash3, so that its low bits
	 * are evenly distributed.
	 * @param hash the hash
	 * @return the mixed bits
	 */
	private static int mixBits(int hash) {
		int bits = hash;
		bits = (bits ^ (bits >>> 16)) * 0x85ebca6b;
		bits = (bits ^ (bits >>> 13)) * 0xc2b2ae35;
		return bits ^ (bits >>> 16);
	}

}
