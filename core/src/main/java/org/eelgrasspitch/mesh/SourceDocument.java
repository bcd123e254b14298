package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A published document as this node knows it: its items, and the revision up to which
 * this knowledge is complete.
 * <p>
 * The source numbers all changes with one counter, so of two nodes' knowledge the one
 * with the higher revision includes the other. That makes it safe to take changes from
 * the source and from peers in any order: whatever does not lead beyond the held revision
 * is ignored, and the document never moves back.
 * <p>
 * Worked case: this node is at revision 40 and cut off from the source. A peer at 52
 * sends what changed since 40; the node is then at 52. When the source returns and sends
 * an event of revision 45, nothing changes.
 */
public final class SourceDocument {

	/** Removals remembered for differences; older ones make a difference complete. */
	private static final int MAX_REMOVALS = 1_000;

	private final Map<String, SourceItem> items = new HashMap<>();

	/** Revision of each remembered removal by key, the oldest first. */
	private final Map<String, Long> removals = new LinkedHashMap<>();

	/** Differences can be told from this revision on. */
	private long oldestDeltaRevision;

	/** Everything up to this revision is included; 0 before the first content. */
	private long revision;

	/** Revision of the last change that is known; at most {@link #revision}. */
	private long lastChangeRevision;

	/**
	 * Returns the revision up to which this document is complete.
	 * @return the revision; 0 before the first content
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns the revision of the last change. A node whose document reaches that
	 * revision has nothing to learn from this one, although this one may be complete up
	 * to a later revision.
	 * @return the revision; 0 before the first content
	 */
	public long lastChangeRevision() {
		return this.lastChangeRevision;
	}

	/**
	 * Returns the items.
	 * @return the items in no particular order
	 */
	public Collection<SourceItem> items() {
		return this.items.values();
	}

	/**
	 * Returns what changed after a revision.
	 * @param since the revision that the receiver holds
	 * @return the difference, or the whole document when the difference is not known
	 */
	public SourceDelta deltaSince(long since) {
		if (since == 0 || since < this.oldestDeltaRevision) {
			return new SourceDelta(0, this.revision, List.copyOf(this.items.values()), List.of());
		}
		List<SourceItem> changed = this.items.values().stream().filter((item) -> item.revision() > since).toList();
		List<String> removed = this.removals.entrySet()
			.stream()
			.filter((removal) -> removal.getValue() > since)
			.map(Map.Entry::getKey)
			.toList();
		return new SourceDelta(since, this.revision, changed, removed);
	}

	/**
	 * Takes over a difference, from the source or from a peer.
	 * @param delta the difference
	 * @return the keys that this node held and that are no longer published; null when
	 * the difference leads nowhere or cannot be applied
	 */
	public List<String> apply(SourceDelta delta) {
		if (delta.to() <= this.revision || delta.from() > this.revision) {
			return null;
		}
		List<String> removedKeys = (delta.from() == 0) ? missingKeys(delta.items()) : delta.removed();
		List<String> held = new ArrayList<>();
		for (String key : removedKeys) {
			if (remove(key, delta.to())) {
				held.add(key);
			}
		}
		if (this.revision == 0) {
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
