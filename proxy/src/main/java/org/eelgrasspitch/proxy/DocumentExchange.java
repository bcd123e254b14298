package org.eelgrasspitch.proxy;

import java.util.function.Consumer;

import org.eelgrasspitch.mesh.SourceDelta;
import org.eelgrasspitch.proxy.generated.LinkPackedDocument;

/**
 * Exchanges published documents with peers. May be called on any thread.
 */
interface DocumentExchange {

	/**
	 * Computes the changes in a document after a revision.
	 * @param channel the document
	 * @param since revision that the peer holds; 0 for the complete document
	 * @param answer receives the delta, or the complete document if the changes since
	 * that revision are not known any more; called on the thread that owns the documents
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

	/**
	 * Decompresses a document received from a peer and applies it like {@link #offer}. A
	 * malformed document is logged and ignored.
	 * @param packed the compressed document
	 * @param peer name of the peer's VM
	 */
	void offerPacked(LinkPackedDocument packed, String peer);

}
