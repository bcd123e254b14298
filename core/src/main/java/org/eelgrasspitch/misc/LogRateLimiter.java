package org.eelgrasspitch.misc;

/**
 * Bounds the lines of one kind that are logged in a second, and counts those left out.
 */
public final class LogRateLimiter {

	private long currentSecond;

	private int linesInSecond;

	private long suppressed;

	/**
	 * Permits a line or counts it as suppressed.
	 * @param nowSeconds the present second
	 * @param maxLines lines permitted in a second
	 * @return lines suppressed since the last permitted one, or -1 when not permitted
	 */
	public synchronized long permit(long nowSeconds, int maxLines) {
		if (nowSeconds != this.currentSecond) {
			this.currentSecond = nowSeconds;
			this.linesInSecond = 0;
		}
		if (++this.linesInSecond > maxLines) {
			this.suppressed++;
			return -1;
		}
		long count = this.suppressed;
		this.suppressed = 0;
		return count;
	}

}
