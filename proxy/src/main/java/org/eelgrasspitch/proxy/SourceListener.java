package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.SourceDelta;

/**
 * Receives the published documents and the availability of their source. Called on the
 * control thread.
 */
public interface SourceListener {

	/**
	 * Called when a document or a change of it was read.
	 * @param channel the document
	 * @param delta the changes, or the complete document
	 */
	void documentRead(SourceChannel channel, SourceDelta delta);

	/**
	 * Called when the source has become unavailable.
	 * @param reason description of the failure
	 */
	void sourceLost(String reason);

	/**
	 * Called when the source is available again.
	 * @param outageMillis duration of the outage in milliseconds
	 */
	void sourceReturned(long outageMillis);

}
