package org.eelgrasspitch.misc;

/**
 * Limits the number of log lines of one kind per second and counts the suppressed lines.
 */
public final class LogRateLimiter {

	private long currentSecond;

	private int linesInSecond;

	private long suppressed;

	/**
	 * Requests permission to log one line. A line that is not permitted counts as
	 * suppressed.
	 * @param nowSeconds the current time in seconds; only compared for equality
	 * @param maxLines maximum number of lines per second
	 * @return the number of lines suppressed since the last permitted line, or -1 if this
	 * line is not permitted
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
