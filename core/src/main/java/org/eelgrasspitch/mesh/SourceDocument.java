package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Local copy of a published document: its items and the position up to which they are
 * complete.
 * <p>
 * The source numbers all changes of an era with one counter, so of two copies the one
 * with the later {@link SourcePosition} includes the other. Deltas from the source and
 * from peers can therefore be applied in any order: a delta that does not lead beyond the
 * current position is ignored, and the position never goes back. A later era can be
 * entered only with the complete document, because what the source has lost is unknown.
 * <p>
 * Example: this node is at revision 40 and cannot reach the source. A peer at revision 52
 * sends the changes since 40, which brings the node to 52. An event of revision 45 that
 * the source sends later is ignored. The source is restored and listed again at revision
 * 47 of the next era: the listing replaces all items, and the change of revision 48 is
 * applied.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class SourceDocument {

	/**
	 * Maximum number of removals remembered for deltas. For a revision before the newest
	 * one that was dropped, the complete document is sent.
	 */
	private static final int MAX_REMOVALS = 1_000;

	private final Map<String, SourceItem> items = new HashMap<>();

	/** Era of the revisions below and of those of the items. */
	private long era;

	/** Revision of each remembered removal in this era by key, oldest first. */
	private final Map<String, Long> removals = new LinkedHashMap<>();

	/** Earliest revision from which a delta can be computed. */
	private long oldestDeltaRevision;

	/** Revision up to which the document is complete; 0 before the first content. */
	private long revision;

	/** Revision of the last known change; at most {@link #revision}. */
	private long lastChangeRevision;

	/**
	 * Returns the position up to which this document is complete.
	 * @return the position; {@link SourcePosition#NONE} before the first content
	 */
	public SourcePosition position() {
		return new SourcePosition(this.era, this.revision);
	}

	/**
	 * Returns the position of the last change. A node that holds this position needs no
	 * delta from this document, even if this document is complete up to a later one.
	 * @return the position; {@link SourcePosition#NONE} before the first content
	 */
	public SourcePosition lastChange() {
		return new SourcePosition(this.era, this.lastChangeRevision);
	}

	/**
	 * Returns the items.
	 * @return a live view of the items, in no particular order
	 */
	public Collection<SourceItem> items() {
		return this.items.values();
	}

	/**
	 * Returns the changes after a position.
	 * @param held the position that the receiver holds
	 * @return the delta, or the complete document if the position has no content, belongs
	 * to another era or is before the earliest one from which a delta can be computed
	 */
	public SourceDelta deltaSince(SourcePosition held) {
		long since = held.revision();
		if (held.era() != this.era || !held.hasContent() || since < this.oldestDeltaRevision) {
			return new SourceDelta(this.era, 0, this.revision, List.copyOf(this.items.values()), List.of());
		}
		List<SourceItem> changed = this.items.values().stream().filter((item) -> item.revision() > since).toList();
		List<String> removed = this.removals.entrySet()
			.stream()
			.filter((removal) -> removal.getValue() > since)
			.map(Map.Entry::getKey)
			.toList();
		return new SourceDelta(this.era, since, this.revision, changed, removed);
	}

	/**
	 * Applies a delta from the source or from a peer.
	 * @param delta the delta
	 * @return keys of the items that the delta removed from this document; null if the
	 * delta is ignored because it leads to no later position, starts after the current
	 * one, or has changes only and belongs to a later era
	 */
	public List<String> apply(SourceDelta delta) {
		if (!delta.end().isAfter(position()) || (!delta.isComplete() && !isKnown(delta.era(), delta.from()))) {
			return null;
		}
		List<String> removedKeys = delta.isComplete() ? missingKeys(delta.items()) : delta.removed();
		if (delta.era() != this.era) {
			enterEra(delta.era());
		}
		List<String> held = new ArrayList<>();
		for (String key : removedKeys) {
			if (remove(key, delta.to())) {
				held.add(key);
			}
		}
		if (delta.isComplete()) {
			// Items that were added and removed since the held revision are unknown here,
			// but a peer may hold them.
			this.oldestDeltaRevision = delta.to();
		}
		delta.items().forEach(this::put);
		this.revision = delta.to();
		if (!held.isEmpty()) {
			this.lastChangeRevision = delta.to();
		}
		evictOldRemovals();
		return held;
	}

	private boolean isKnown(long deltaEra, long deltaStart) {
		return deltaEra == this.era && deltaStart <= this.revision;
	}

	/**
	 * Forgets the revisions of the former era, which say nothing about the new one. The
	 * items stay until the complete document has replaced them.
	 */
	private void enterEra(long newEra) {
		this.era = newEra;
		this.revision = 0;
		this.lastChangeRevision = 0;
		this.oldestDeltaRevision = 0;
		this.removals.clear();
		this.items.replaceAll((key, item) -> new SourceItem(key, item.value(), 0));
	}

	private List<String> missingKeys(List<SourceItem> complete) {
		List<String> absent = new ArrayList<>(this.items.keySet());
		complete.forEach((item) -> absent.remove(item.key()));
		return absent;
	}

	private boolean remove(String key, long at) {
		this.removals.remove(key);
		this.removals.put(key, at);
		return this.items.remove(key) != null;
	}

	private void put(SourceItem item) {
		SourceItem held = this.items.get(item.key());
		if (held == null || held.revision() <= item.revision()) {
			this.items.put(item.key(), item);
			this.removals.remove(item.key());
			this.lastChangeRevision = Math.max(this.lastChangeRevision, item.revision());
		}
	}

	private void evictOldRemovals() {
		while (this.removals.size() > MAX_REMOVALS) {
			Map.Entry<String, Long> oldest = this.removals.entrySet().iterator().next();
			this.oldestDeltaRevision = Math.max(this.oldestDeltaRevision, oldest.getValue());
			this.removals.remove(oldest.getKey());
		}
	}

}
