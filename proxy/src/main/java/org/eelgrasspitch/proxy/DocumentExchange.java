package org.eelgrasspitch.proxy;

import java.util.function.Consumer;

import org.eelgrasspitch.mesh.SourceDelta;
import org.eelgrasspitch.mesh.SourcePosition;
import org.eelgrasspitch.proxy.generated.LinkPackedDocument;

/**
 * Exchanges published documents with peers. May be called on any thread.
 */
interface DocumentExchange {

	/**
	 * Computes the changes in a document after a position.
	 * @param channel the document
	 * @param held position that the peer holds
	 * @param answer receives the delta, or the complete document if the changes since
	 * that position are not known; called on the thread that owns the documents
	 */
	void deltaSince(SourceChannel channel, SourcePosition held, Consumer<SourceDelta> answer);

	/**
	 * Applies a delta received from a peer. It is ignored unless it starts at or before
	 * the position held here and leads beyond it.
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
