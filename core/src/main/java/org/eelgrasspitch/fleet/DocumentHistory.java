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
 * The documents that this process held before the one it holds now, so that a peer that
 * is a few versions behind gets only what changed: of the list of parts and of the parts
 * themselves. Documents share the parts that did not change, so {@value #MAX_DOCUMENTS}
 * of them take little more memory than one.
 */
final class DocumentHistory {

	/** Documents kept. */
	static final int MAX_DOCUMENTS = 4;

	/** The documents, the latest first. */
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
	 * Writes a part as a change of one that the receiver holds.
	 * @param part the part that the receiver lacks
	 * @param receiverDigests digests of the parts that it holds
	 * @return the change, or empty when no former part helps
	 */
	Optional<PartDelta> delta(Part part, Set<Digest> receiverDigests) {
		return this.documents.stream()
			.flatMap((document) -> document.parts().stream())
			.filter((earlier) -> earlier.name().equals(part.name()) && receiverDigests.contains(earlier.digest()))
			.findFirst()
			.flatMap((base) -> PartDelta.between(base, part));
	}

	/**
	 * Writes a list of parts as a change of another list.
	 * @param base the list that the receiver holds; empty for none
	 * @param parts the list wanted
	 * @return the steps that make it
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
	 * Adds a part of the base, to the last step when it follows on.
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
