package org.eelgrasspitch.mesh;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Maintains the directory of targets from the entries that are published and removed.
 * <p>
 * Entries of a target are ordered by its start time and its sequence number, not by their
 * arrival. An entry older than one already seen is ignored, so a late entry cannot mark a
 * draining target as ready again.
 * <p>
 * A target is dropped at once when its entry is removed, with two exceptions, which do
 * not apply to draining targets. While the source is unavailable, a target that peers
 * report as removed is kept for {@link #OUTAGE_GRACE_MILLIS}. During an outage entries
 * expire although their targets run; the targets publish them again within
 * {@link #REPUBLISH_GRACE_MILLIS} of the source's return, so entries missing then are
 * kept until that time has passed.
 * <p>
 * Example: the source is unavailable for 6 s. On its return, {@code t1} and {@code t2}
 * are missing. {@code t1} is published again after 1.2 s and stays usable throughout;
 * {@code t2} is dropped after 2 s.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class TargetRegistry {

	/**
	 * Time after the source's return within which expired entries are published again, in
	 * milliseconds; guaranteed by the platform.
	 */
	public static final long REPUBLISH_GRACE_MILLIS = 2_000;

	/**
	 * Time for which a target that peers report as removed is kept while the source does
	 * not answer this node, in milliseconds. It is shorter than the time in which a
	 * leaving target still accepts requests.
	 */
	public static final long OUTAGE_GRACE_MILLIS = 1_500;

	/** Maximum number of dropped targets whose last entry is remembered. */
	private static final int MAX_REMEMBERED_TARGETS = 4_096;

	/** Entry of each target that is published or in its grace period. */
	private final Map<String, TargetEntry> currentEntries = new HashMap<>();

	/**
	 * Newest entry seen of each target, including dropped ones, least recently updated
	 * first, to detect older entries. Of dropped targets only the most recent are
	 * remembered.
	 */
	private final Map<String, TargetEntry> lastSeenEntries = new LinkedHashMap<>();

	/**
	 * Monotonic time in milliseconds at which each target in its grace period is dropped.
	 */
	private final Map<String, Long> dropTimes = new HashMap<>();

	/**
	 * Monotonic time in milliseconds until which removals are delayed after the last
	 * outage of the source.
	 */
	private long graceEndMillis = Long.MIN_VALUE;

	/** Snapshot of {@link #currentEntries}; null after a change. */
	private TargetDirectory directory;

	/** Whether the source is unavailable to this node. */
	private boolean sourceUnavailable;

	/**
	 * Records that the source does not answer this node any more. Entries that peers
	 * report as removed meanwhile may have expired for the same reason.
	 */
	public void sourceLost() {
		this.sourceUnavailable = true;
	}

	/**
	 * Records that the source is available again after an outage too short for entries to
	 * expire.
	 */
	public void sourceReturnedBeforeExpiry() {
		this.sourceUnavailable = false;
	}

	/**
	 * Records that the source is available again after an outage in which entries may
	 * have expired.
	 * @param now current monotonic time in milliseconds
	 */
	public void sourceReturned(long now) {
		this.sourceUnavailable = false;
		this.graceEndMillis = now + REPUBLISH_GRACE_MILLIS;
	}

	/**
	 * Adds or replaces an entry.
	 * @param entry the published entry
	 * @return true if the directory changed; false if the entry is older than one already
	 * seen or equal to the current one
	 */
	public boolean put(TargetEntry entry) {
		TargetEntry lastSeen = this.lastSeenEntries.get(entry.id());
		if (lastSeen != null && entry.isOlderThan(lastSeen)) {
			return false;
		}
		this.lastSeenEntries.remove(entry.id());
		this.lastSeenEntries.put(entry.id(), entry);
		evictOldest();
		this.dropTimes.remove(entry.id());
		this.directory = null;
		return !entry.equals(this.currentEntries.put(entry.id(), entry));
	}

	/**
	 * Returns the number of remembered targets, including dropped ones.
	 * @return the number
	 */
	int rememberedTargets() {
		return this.lastSeenEntries.size();
	}

	private void evictOldest() {
		Iterator<String> oldest = this.lastSeenEntries.keySet().iterator();
		while (this.lastSeenEntries.size() > this.currentEntries.size() + MAX_REMEMBERED_TARGETS && oldest.hasNext()) {
			if (!this.currentEntries.containsKey(oldest.next())) {
				oldest.remove();
			}
		}
	}

	/**
	 * Handles the removal of a published entry.
	 * @param id identifier of the target
	 * @param now current monotonic time in milliseconds
	 * @return the former entry if the target is dropped; empty if it is unknown or kept
	 * for the grace period
	 */
	public Optional<TargetEntry> remove(String id, long now) {
		TargetEntry entry = this.currentEntries.get(id);
		if (entry == null) {
			return Optional.empty();
		}
		long until = this.sourceUnavailable ? (now + OUTAGE_GRACE_MILLIS) : this.graceEndMillis;
		if (now < until && !entry.draining()) {
			this.dropTimes.putIfAbsent(id, until);
			return Optional.empty();
		}
		this.dropTimes.remove(id);
		this.directory = null;
		return Optional.of(this.currentEntries.remove(id));
	}

	/**
	 * Drops the targets that were not published again within the grace period.
	 * @param now current monotonic time in milliseconds
	 * @return entries of the dropped targets
	 */
	public List<TargetEntry> expire(long now) {
		List<TargetEntry> dropped = this.dropTimes.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() <= now)
			.map((entry) -> this.currentEntries.get(entry.getKey()))
			.toList();
		dropped.forEach((entry) -> {
			this.dropTimes.remove(entry.id());
			this.currentEntries.remove(entry.id());
			this.directory = null;
		});
		return dropped;
	}

	/**
	 * Returns the current directory.
	 * @return an immutable snapshot; the same object until an entry changes
	 */
	public TargetDirectory directory() {
		if (this.directory == null) {
			this.directory = new TargetDirectory(this.currentEntries.values());
		}
		return this.directory;
	}

}
