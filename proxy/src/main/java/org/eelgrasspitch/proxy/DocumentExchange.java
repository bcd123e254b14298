package org.eelgrasspitch.proxy;

import java.util.function.Consumer;

import org.eelgrasspitch.mesh.SourceDelta;

/**
 * Gives documents to peers and takes them from peers. May be called on any thread.
 */
interface DocumentExchange {

	/**
	 * Tells what changed in a document.
	 * @param channel the document
	 * @param since revision that the peer holds
	 * @param answer receives the difference, on any thread
	 */
	void deltaSince(SourceChannel channel, long since, Consumer<SourceDelta> answer);

	/**
	 * Offers what a peer holds.
	 * @param channel the document
	 * @param delta the difference
	 * @param peer name of the peer's VM
	 */
	void offer(SourceChannel channel, SourceDelta delta, String peer);

}
