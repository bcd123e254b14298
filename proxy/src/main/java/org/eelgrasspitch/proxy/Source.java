package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.SourcePosition;

/**
 * Source of the published documents. Implemented by the adapter of a deployment.
 */
public interface Source {

	/**
	 * Starts reading and watching the documents. Called once, on the control thread.
	 * @param listener receives the documents and the availability of the source
	 */
	void start(SourceListener listener);

	/**
	 * Reads the source again without waiting for the watch. Called after a peer supplied
	 * a newer revision or the machine was paused. May be called on any thread.
	 */
	void refresh();

	/**
	 * Stops reading until {@link #resume}. Neither documents nor changes of the
	 * availability are reported meanwhile. Called on the control thread.
	 */
	void pause();

	/**
	 * Reads and watches the documents again after a pause. Called on the control thread.
	 * @param position position up to which all documents are complete; changes before it
	 * are not reported again. If it has no content, the complete documents are read.
	 */
	void resume(SourcePosition position);

}
