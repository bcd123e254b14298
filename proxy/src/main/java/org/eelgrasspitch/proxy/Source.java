package org.eelgrasspitch.proxy;

/**
 * Source of the published documents. Implemented by the adapter of a deployment.
 */
public interface Source {

	/**
	 * Starts reading and watching the documents.
	 * @param listener receives the documents and the availability of the source
	 */
	void start(SourceListener listener);

	/**
	 * Reads the source again without waiting for the watch. Called after a peer supplied
	 * a newer revision or the process was paused.
	 */
	void refresh();

}
