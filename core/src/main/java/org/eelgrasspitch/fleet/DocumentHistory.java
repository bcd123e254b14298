package org.eelgrasspitch.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.text.Document;
import org.eelgrasspitch.text.Part;
import org.eelgrasspitch.text.PartDelta;

/**
 * The previous versions of one document, kept so that a peer that is a few versions
 * behind can be sent deltas of the part list and of the parts. Versions share their
 * unchanged parts, so {@value #MAX_DOCUMENTS} of them take little more memory than one.
 */
final class DocumentHistory {

	/** Number of previous versions kept. */
	static final int MAX_DOCUMENTS = 4;

	/** Previous versions, latest first. */
	private final Deque<Document> documents = new ArrayDeque<>();

	void add(Document document) {
		this.documents.addFirst(document);
		if (this.documents.size() > MAX_DOCUMENTS) {
			this.documents.removeLast();
		}
	}

	Optional<Document> find(Digest digest) {
		return this.documents.stream().filter((document) -> document.version().digest().equals(digest)).findFirst();
	}

	/**
	 * Encodes a part as a delta against an earlier version of it that the receiver holds.
	 * @param part part that the receiver lacks
	 * @param receiverDigests digests of the parts that the receiver holds
	 * @return the delta, or empty when no usable base is kept
	 */
	Optional<PartDelta> delta(Part part, Set<Digest> receiverDigests) {
		return this.documents.stream()
			.flatMap((document) -> document.parts().stream())
			.filter((earlier) -> earlier.name().equals(part.name()) && receiverDigests.contains(earlier.digest()))
			.findFirst()
			.flatMap((base) -> PartDelta.between(base, part));
	}

	/**
	 * Encodes a part list as a manifest that refers to a base list.
	 * @param base parts of the document that the receiver holds; empty when it holds none
	 * @param parts parts of the document to send
	 * @return manifest entries in document order
	 */
	static List<PeerMessage.ManifestEntry> encodeManifest(List<Part> base, List<Part> parts) {
		Map<Digest, Integer> baseIndexes = new HashMap<>();
		for (int index = 0; index < base.size(); index++) {
			baseIndexes.putIfAbsent(base.get(index).digest(), index);
		}
		List<PeerMessage.ManifestEntry> entries = new ArrayList<>();
		for (Part part : parts) {
			Integer baseIndex = baseIndexes.get(part.digest());
			if (baseIndex == null || !base.get(baseIndex).name().equals(part.name())) {
				entries.add(new PeerMessage.ManifestEntry.Named(part.name(), part.digest()));
				continue;
			}
			appendKept(entries, baseIndex);
		}
		return entries;
	}

	/**
	 * Appends a part of the base, extending the last entry when the indexes are
	 * contiguous.
	 */
	private static void appendKept(List<PeerMessage.ManifestEntry> entries, int baseIndex) {
		int last = entries.size() - 1;
		if (last >= 0 && entries.get(last) instanceof PeerMessage.ManifestEntry.Kept kept
				&& kept.from() + kept.count() == baseIndex) {
			entries.set(last, new PeerMessage.ManifestEntry.Kept(kept.from(), kept.count() + 1));
			return;
		}
		entries.add(new PeerMessage.ManifestEntry.Kept(baseIndex, 1));
	}

}
