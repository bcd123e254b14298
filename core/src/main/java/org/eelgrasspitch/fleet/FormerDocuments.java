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
final class FormerDocuments {

	/** Documents kept. */
	static final int MAX_DOCUMENTS = 4;

	/** The documents, the latest first. */
	private final Deque<Document> documents = new ArrayDeque<>();

	void remember(Document document) {
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
	 * @param receiverHolds digests of the parts that it holds
	 * @return the change, or empty when no former part helps
	 */
	Optional<PartDelta> delta(Part part, Set<Digest> receiverHolds) {
		return this.documents.stream()
			.flatMap((document) -> document.parts().stream())
			.filter((former) -> former.name().equals(part.name()) && receiverHolds.contains(former.digest()))
			.findFirst()
			.flatMap((base) -> PartDelta.between(base, part));
	}

	/**
	 * Writes a list of parts as a change of another list.
	 * @param base the list that the receiver holds; empty for none
	 * @param parts the list wanted
	 * @return the steps that make it
	 */
	static List<PeerMessage.ManifestEntry> manifest(List<Part> base, List<Part> parts) {
		Map<Digest, Integer> places = new HashMap<>();
		for (int index = 0; index < base.size(); index++) {
			places.putIfAbsent(base.get(index).digest(), index);
		}
		List<PeerMessage.ManifestEntry> entries = new ArrayList<>();
		for (Part part : parts) {
			Integer place = places.get(part.digest());
			if (place == null || !base.get(place).name().equals(part.name())) {
				entries.add(new PeerMessage.ManifestEntry.Named(part.name(), part.digest()));
				continue;
			}
			keep(entries, place);
		}
		return entries;
	}

	/**
	 * Adds a part of the base, to the last step when it follows on.
	 */
	private static void keep(List<PeerMessage.ManifestEntry> entries, int place) {
		int last = entries.size() - 1;
		if (last >= 0 && entries.get(last) instanceof PeerMessage.ManifestEntry.Kept kept
				&& kept.from() + kept.count() == place) {
			entries.set(last, new PeerMessage.ManifestEntry.Kept(kept.from(), kept.count() + 1));
			return;
		}
		entries.add(new PeerMessage.ManifestEntry.Kept(place, 1));
	}

}
