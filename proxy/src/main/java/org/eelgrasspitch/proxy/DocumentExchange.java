package org.eelgrasspitch.proxy;

import java.util.function.Consumer;

import org.eelgrasspitch.mesh.SourceDelta;

/**
 * Exchanges published documents with peers. May be called on any thread.
 */
interface DocumentExchange {

	/**
	 * Computes the changes in a document after a revision.
	 * @param channel the document
	 * @param since revision that the peer holds; 0 for the complete document
	 * @param answer receives the delta, or the complete document if the changes since
	 * that revision are not known any more; called on any thread
	 */
	void deltaSince(SourceChannel channel, long since, Consumer<SourceDelta> answer);

	/**
	 * Applies a delta received from a peer. It is ignored unless it starts at or before
	 * the revision held here and leads beyond it.
	 * @param channel the document
	 * @param delta the delta
	 * @param peer name of the peer's VM
	 */
	void offer(SourceChannel channel, SourceDelta delta, String peer);

}
