package org.eelgrasspitch.proxy;

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

}
