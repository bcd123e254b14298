package org.eelgrasspitch.misc;

/**
 * Bounds the lines of one kind that are logged in a second, and counts those left out.
 */
public final class LineRate {

	private long second;

	private int lines;

	private long suppressed;

	/**
	 * Permits a line or counts it as suppressed.
	 * @param now the present second
	 * @param most lines permitted in a second
	 * @return lines suppressed since the last permitted one, or -1 when not permitted
	 */
	public synchronized long permit(long now, int most) {
		if (now != this.second) {
			this.second = now;
			this.lines = 0;
		}
		if (++this.lines > most) {
			this.suppressed++;
			return -1;
		}
		long count = this.suppressed;
		this.suppressed = 0;
		return count;
	}

}
