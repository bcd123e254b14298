package org.eelgrasspitch.proxy;

/**
 * Where documents are published. Implemented by the deployment's adapter.
 */
public interface Source {

	/**
	 * Starts to read and to watch.
	 * @param listener learns what is read
	 */
	void start(SourceListener listener);

	/**
	 * Asks again, because peers know something newer than the watch has brought.
	 */
	void refresh();

}
