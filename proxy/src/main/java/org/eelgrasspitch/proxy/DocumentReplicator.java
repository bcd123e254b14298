package org.eelgrasspitch.proxy;

import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.eelgrasspitch.mesh.PullSchedule;
import org.eelgrasspitch.mesh.SourcePosition;
import org.eelgrasspitch.mesh.SourceReaders.Report;
import org.eelgrasspitch.proxy.generated.LinkBeat;
import org.eelgrasspitch.proxy.generated.LinkDocument;
import org.eelgrasspitch.proxy.generated.LinkMessage;
import org.eelgrasspitch.proxy.generated.LinkPackedDocument;
import org.eelgrasspitch.proxy.generated.LinkPull;

/**
 * Replicates published documents between peers.
 * <p>
 * The leading reader of a failure domain pushes each change to its peers there. The
 * change is computed and compressed once for all of them. A link that still has bytes to
 * send is skipped: its peer sees the newer revision in a later heartbeat and pulls all
 * changes since its own at once, so that documents that follow each other quickly do not
 * queue up on a thin link.
 * <p>
 * A node that sees a newer revision in a heartbeat pulls the changes when
 * {@link PullSchedule} says so.
 */
final class DocumentReplicator {

	/** Size of an encoded document from which it is compressed. */
	private static final int MIN_PACKED_BYTES = 400;

	private final ProxyContext context;

	private final DocumentExchange documents;

	private RoutingState state = RoutingState.EMPTY;

	private final Map<SourceChannel, PullSchedule> pulls = new EnumMap<>(SourceChannel.class);

	DocumentReplicator(ProxyContext context, DocumentExchange documents) {
		this.context = context;
		this.documents = documents;
		for (SourceChannel channel : SourceChannel.values()) {
			this.pulls.put(channel, new PullSchedule());
		}
	}

	/**
	 * Applies a new routing state and pushes what has changed, if this node leads the
	 * readers of its failure domain and the source answers it.
	 * @param newState the routing state
	 * @param leading whether this node leads; see {@link SourceRole#isLeading()}
	 * @param nearLinks open links to peers in the same failure domain
	 */
	void updateState(RoutingState newState, boolean leading, Collection<Link> nearLinks) {
		RoutingState previous = this.state;
		this.state = newState;
		for (SourceChannel channel : SourceChannel.values()) {
			if (newState.lastDeltaAtMillis(channel) > previous.lastDeltaAtMillis(channel)) {
				this.pulls.get(channel).deltaReceived();
			}
			if (leading && newState.sourceReport() == Report.SERVED
					&& newState.lastChange(channel).isAfter(previous.lastChange(channel))) {
				push(channel, previous.lastChange(channel), List.copyOf(nearLinks));
			}
		}
	}

	/**
	 * Schedules a pull of each document that has changed at the peer since the position
	 * held here.
	 * @param link link to the peer
	 * @param beat heartbeat of the peer
	 */
	void handleHeartbeat(Link link, LinkBeat beat) {
		for (SourceChannel channel : SourceChannel.values()) {
			SourcePosition held = this.state.position(channel);
			if (!LinkFrames.lastChange(beat, channel, held.era()).isAfter(held)) {
				continue;
			}
			this.pulls.get(channel)
				.schedule(link.isNear(), this.context.now())
				.ifPresent((delayMillis) -> this.context.loop()
					.schedule(() -> pull(link, channel), delayMillis, TimeUnit.MILLISECONDS));
		}
	}

	/**
	 * Answers a pull.
	 * @param link link to the peer
	 * @param pull the request
	 */
	void handlePull(Link link, LinkPull pull) {
		SourceChannel channel = LinkFrames.channelFromWire(pull.getDocument());
		SourcePosition held = LinkFrames.heldPosition(pull, this.state.position(channel).era());
		this.documents.deltaSince(channel, held, (delta) -> {
			EncodedMessage message = encode(LinkFrames.toWire(channel, delta), pull.isPacked());
			this.context.loop().execute(() -> {
				if (link.isOpen()) {
					link.send(message);
				}
			});
		});
	}

	void handleDocument(LinkDocument document, String peer) {
		SourceChannel channel = LinkFrames.channelFromWire(document.getDocument());
		this.documents.offer(channel, LinkFrames.fromWire(document, this.state.position(channel).era()), peer);
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

	private void push(SourceChannel channel, SourcePosition held, List<Link> nearLinks) {
		this.documents.deltaSince(channel, held, (delta) -> {
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

	private void pull(Link link, SourceChannel channel) {
		boolean sent = this.pulls.get(channel)
			.start(link.isNear(), link.isOpen(), this.state.lastDeltaAtMillis(channel), this.context.now());
		if (sent) {
			SourcePosition held = this.state.position(channel);
			link.send(LinkMessage
				.pull(new LinkPull((byte) channel.ordinal(), held.revision()).setPacked(true).setEra(held.era())));
		}
	}

}
