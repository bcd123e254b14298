package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.SourceDelta;

/**
 * Learns what is published. Called on the control thread.
 */
public interface SourceListener {

	/**
	 * Something was read.
	 * @param channel the document
	 * @param delta the difference, or the whole document
	 */
	void documentRead(SourceChannel channel, SourceDelta delta);

	/**
	 * The source does not answer any more.
	 * @param reason what was seen
	 */
	void sourceLost(String reason);

	/**
	 * The source answers again.
	 * @param outageMillis how long it did not
	 */
	void sourceReturned(long outageMillis);

}
