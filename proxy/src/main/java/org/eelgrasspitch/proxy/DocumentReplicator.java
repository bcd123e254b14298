package org.eelgrasspitch.proxy;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.eelgrasspitch.mesh.SourceReaders.Report;
import org.eelgrasspitch.proxy.generated.LinkDocument;
import org.eelgrasspitch.proxy.generated.LinkMessage;
import org.eelgrasspitch.proxy.generated.LinkPackedDocument;
import org.eelgrasspitch.proxy.generated.LinkPull;

/**
 * Replicates published documents between peers.
 * <p>
 * A node that reads the source pushes each change to the peers of its failure domain. The
 * change is computed and compressed once for all of them. A link that still has bytes to
 * send is skipped: its peer sees the newer revision in a later heartbeat and pulls all
 * changes since its own at once, so that documents that follow each other quickly do not
 * queue up on a thin link.
 * <p>
 * A node that sees a newer revision in a heartbeat and receives no change pulls it, first
 * from peers in its failure domain, because documents are large and traffic between
 * failure domains is charged for. There is at most one pull of a document in progress;
 * otherwise a node whose link is busy with a document would request it again and again,
 * and keep its own and its peers' links busy.
 */
final class DocumentReplicator {

	/**
	 * Time for which a peer in the same failure domain may hold a newer revision before
	 * its documents are pulled, so that a node that reads the source or receives a push
	 * pulls from no peer.
	 */
	private static final long NEAR_PULL_DELAY_MILLIS = 400;

	/** Same as {@link #NEAR_PULL_DELAY_MILLIS} for a peer in another failure domain. */
	private static final long FAR_PULL_DELAY_MILLIS = 800;

	/** Time after which a pull that was not answered is given up. */
	private static final long PULL_TIMEOUT_MILLIS = 1_500;

	/** Size of an encoded document from which it is compressed. */
	private static final int MIN_PACKED_BYTES = 400;

	private final ProxyContext context;

	private final DocumentExchange documents;

	private RoutingState state = RoutingState.EMPTY;

	/**
	 * Monotonic time in milliseconds at which a pull from a peer in the same failure
	 * domain was scheduled because the peer held a newer revision, by channel ordinal; 0
	 * if none is scheduled.
	 */
	private final long[] nearPullScheduledAtMillis = new long[SourceChannel.values().length];

	/** Same as {@link #nearPullScheduledAtMillis} for peers in other failure domains. */
	private final long[] farPullScheduledAtMillis = new long[SourceChannel.values().length];

	/**
	 * Monotonic time in milliseconds at which the last pull was sent, by channel ordinal;
	 * 0 if there was none or it was answered.
	 */
	private final long[] pullSentAtMillis = new long[SourceChannel.values().length];

	DocumentReplicator(ProxyContext context, DocumentExchange documents) {
		this.context = context;
		this.documents = documents;
	}

	/**
	 * Applies a new routing state and pushes what has changed, if this node reads the
	 * source.
	 * @param newState the routing state
	 * @param nearLinks open links to peers in the same failure domain
	 */
	void updateState(RoutingState newState, Collection<Link> nearLinks) {
		RoutingState previous = this.state;
		this.state = newState;
		for (SourceChannel channel : SourceChannel.values()) {
			int index = channel.ordinal();
			if (newState.lastDeltaAtMillis(channel) > previous.lastDeltaAtMillis(channel)) {
				this.pullSentAtMillis[index] = 0;
			}
			if (newState.sourceReport() == Report.SERVED
					&& newState.lastChangeRevisions()[index] > previous.lastChangeRevisions()[index]) {
				push(channel, previous.lastChangeRevisions()[index], List.copyOf(nearLinks));
			}
		}
	}

	/**
	 * Schedules a pull of each document that has changed at the peer since the revision
	 * held here.
	 * @param link link to the peer
	 * @param lastChangeRevisions revision of the last change of each document at the
	 * peer, by channel ordinal
	 */
	void handlePeerRevisions(Link link, List<Long> lastChangeRevisions) {
		for (SourceChannel channel : SourceChannel.values()) {
			int index = channel.ordinal();
			if (index >= lastChangeRevisions.size()
					|| lastChangeRevisions.get(index) <= this.state.revisions()[index]) {
				continue;
			}
			long[] scheduledAtMillis = link.isNear() ? this.nearPullScheduledAtMillis : this.farPullScheduledAtMillis;
			if (scheduledAtMillis[index] == 0) {
				scheduledAtMillis[index] = this.context.now();
				this.context.loop()
					.schedule(() -> pull(link, channel, scheduledAtMillis),
							link.isNear() ? NEAR_PULL_DELAY_MILLIS : FAR_PULL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			}
		}
	}

	/**
	 * Answers a pull.
	 * @param link link to the peer
	 * @param pull the request
	 */
	void handlePull(Link link, LinkPull pull) {
		SourceChannel channel = LinkFrames.channelFromWire(pull.getDocument());
		this.documents.deltaSince(channel, pull.getSince(), (delta) -> {
			EncodedMessage message = encode(LinkFrames.toWire(channel, delta), pull.isPacked());
			this.context.loop().execute(() -> {
				if (link.isOpen()) {
					link.send(message);
				}
			});
		});
	}

	void handleDocument(LinkDocument document, String peer) {
		this.documents.offer(LinkFrames.channelFromWire(document.getDocument()), LinkFrames.fromWire(document), peer);
	}

	/**
	 * Handles a compressed document, which is decompressed on the thread that owns the
	 * documents.
	 * @param packed the document
	 * @param peer name of the peer's VM
	 */
	void handlePacked(LinkPackedDocument packed, String peer) {
		this.documents.offerPacked(packed, peer);
	}

	private void push(SourceChannel channel, long since, List<Link> nearLinks) {
		this.documents.deltaSince(channel, since, (delta) -> {
			EncodedMessage message = encode(LinkFrames.toWire(channel, delta), true);
			this.context.loop()
				.execute(() -> nearLinks.stream()
					.filter((link) -> link.isOpen() && link.acceptsPushes() && link.isWritable())
					.forEach((link) -> link.send(message)));
		});
	}

	private static EncodedMessage encode(LinkDocument document, boolean packed) {
		byte[] content = LinkFrames.encodeDocument(document);
		if (!packed || content.length < MIN_PACKED_BYTES) {
			return EncodedMessage.of(LinkMessage.document(document));
		}
		return EncodedMessage.of(LinkMessage.packed(LinkFrames.pack(content)));
	}

	private void pull(Link link, SourceChannel channel, long[] scheduledAtMillis) {
		int index = channel.ordinal();
		long since = scheduledAtMillis[index];
		scheduledAtMillis[index] = 0;
		long now = this.context.now();
		boolean pullInProgress = this.pullSentAtMillis[index] != 0
				&& now - this.pullSentAtMillis[index] < PULL_TIMEOUT_MILLIS;
		if (!link.isOpen() || pullInProgress || this.state.lastDeltaAtMillis(channel) >= since) {
			// The link is closed, or the document is being sent already, or the source or
			// another peer has delivered a delta meanwhile, possibly an empty one. If a
			// peer is still ahead, its next heartbeat shows it.
			return;
		}
		this.pullSentAtMillis[index] = now;
		link.send(EncodedMessage
			.of(LinkMessage.pull(new LinkPull((byte) index, this.state.revisions()[index]).setPacked(true))));
	}

}
