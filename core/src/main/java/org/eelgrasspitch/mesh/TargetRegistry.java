package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Maintains the directory of targets from the entries that are published and removed.
 * <p>
 * Entries of one start of a target are ordered by their sequence number, not by their
 * arrival. An entry older than one already seen is ignored, so a late entry cannot mark a
 * draining target as ready again. The start with the later start time is the newer one,
 * with one exception: a start that was not seen before and is written later in the same
 * era of the source is newer whatever its start time, because the VM's clock may have
 * been set back before the target started again.
 * <p>
 * A source that is restored from an older copy has the entries of that time again. Those
 * of targets that have left since are held back until they would have expired
 * ({@link #RESTORED_ENTRY_MILLIS}); entries written since the copy are missing and kept
 * for the time in which their targets publish them again.
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

	/**
	 * Time for which the last entry of a dropped target is held back when a restored
	 * source has it again, in milliseconds. Longer than the source keeps the entry of a
	 * target that does not renew it.
	 */
	public static final long RESTORED_ENTRY_MILLIS = 6_000;

	/** Maximum number of dropped targets whose last entry is remembered. */
	private static final int MAX_REMEMBERED_TARGETS = 4_096;

	/** Entry of each target that is published or in its grace period. */
	private final Map<String, TargetEntry> currentEntries = new HashMap<>();

	/**
	 * Newest entry seen of each target, including dropped ones, least recently updated
	 * first, to detect older entries. Of dropped targets only the most recent are
	 * remembered.
	 */
	private final Map<String, SeenEntry> lastSeenEntries = new LinkedHashMap<>();

	/**
	 * Monotonic time in milliseconds at which each target in its grace period is dropped.
	 */
	private final Map<String, Long> dropTimes = new HashMap<>();

	/**
	 * Monotonic time in milliseconds at which each entry that is held back is added,
	 * unless it is removed before.
	 */
	private final Map<String, Long> addTimes = new HashMap<>();

	/** Monotonic time in milliseconds of the last restoration; meaningless before. */
	private long restoredAtMillis;

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
	 * Records that the source was restored from an older copy. Must be called before the
	 * entries of the new era are.
	 * @param now current monotonic time in milliseconds
	 */
	public void sourceRestored(long now) {
		this.restoredAtMillis = now;
		this.graceEndMillis = Math.max(this.graceEndMillis, now + REPUBLISH_GRACE_MILLIS);
	}

	/**
	 * Adds or replaces an entry.
	 * @param entry the published entry
	 * @param writtenAt position at which it was written
	 * @return true if the directory changed; false if the entry is older than one already
	 * seen, held back or equal to the current one
	 */
	public boolean put(TargetEntry entry, SourcePosition writtenAt) {
		SeenEntry lastSeen = this.lastSeenEntries.remove(entry.id());
		if (lastSeen != null && lastSeen.supersedes(entry, writtenAt)) {
			this.lastSeenEntries.put(entry.id(), lastSeen.seenAgainAt(writtenAt));
			return false;
		}
		if (lastSeen != null && lastSeen.leftBefore(entry, writtenAt)) {
			this.lastSeenEntries.put(entry.id(), lastSeen);
			this.addTimes.putIfAbsent(entry.id(), this.restoredAtMillis + RESTORED_ENTRY_MILLIS);
			return false;
		}
		this.lastSeenEntries.put(entry.id(), SeenEntry.of(entry, writtenAt, lastSeen));
		evictOldest();
		this.addTimes.remove(entry.id());
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
			String id = oldest.next();
			if (!this.currentEntries.containsKey(id) && !this.addTimes.containsKey(id)) {
				oldest.remove();
			}
		}
	}

	/**
	 * Handles the removal of a published entry.
	 * @param id identifier of the target
	 * @param removedAt position of the removal
	 * @param now current monotonic time in milliseconds
	 * @return the former entry if the target is dropped; empty if it is unknown or kept
	 * for the grace period
	 */
	public Optional<TargetEntry> remove(String id, SourcePosition removedAt, long now) {
		this.addTimes.remove(id);
		this.lastSeenEntries.computeIfPresent(id, (key, seen) -> seen.removedAt(removedAt));
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
	 * Adds the entries that a restored source still has after the time for which they
	 * were held back.
	 * @param now current monotonic time in milliseconds
	 * @return the added entries
	 */
	public List<TargetEntry> addHeldBack(long now) {
		List<TargetEntry> added = this.addTimes.entrySet()
			.stream()
			.filter((time) -> time.getValue() <= now)
			.map((time) -> this.lastSeenEntries.get(time.getKey()).entry())
			.toList();
		added.forEach((entry) -> {
			this.addTimes.remove(entry.id());
			this.currentEntries.put(entry.id(), entry);
			this.directory = null;
		});
		return added;
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

	/**
	 * Newest entry seen of a target.
	 *
	 * @param entry the entry
	 * @param writtenAt latest position at which it, or an older entry, was written
	 * @param removedAt position at which the source removed it;
	 * {@link SourcePosition#NONE} if it did not
	 * @param formerStarts start times of the starts that were replaced last, oldest
	 * first, in Unix milliseconds; empty if there was none
	 */
	private record SeenEntry(TargetEntry entry, SourcePosition writtenAt, SourcePosition removedAt,
			List<Long> formerStarts) {

		/** Maximum number of former starts. */
		private static final int MAX_FORMER_STARTS = 8;

		/**
		 * Creates the newest entry of a target.
		 * @param previous the entry that it replaces; null if there was none
		 */
		static SeenEntry of(TargetEntry entry, SourcePosition writtenAt, SeenEntry previous) {
			return new SeenEntry(entry, writtenAt, SourcePosition.NONE,
					(previous != null) ? previous.startsBefore(entry) : List.of());
		}

		private List<Long> startsBefore(TargetEntry next) {
			long start = this.entry.startUnixMillis();
			if (start == next.startUnixMillis()) {
				return this.formerStarts;
			}
			List<Long> starts = new ArrayList<>(this.formerStarts);
			starts.add(start);
			return List.copyOf(starts.subList(Math.max(0, starts.size() - MAX_FORMER_STARTS), starts.size()));
		}

		/**
		 * Returns whether an entry is older than this one.
		 */
		boolean supersedes(TargetEntry other, SourcePosition otherWrittenAt) {
			return other.isOlderThan(this.entry) && !isRestart(other, otherWrittenAt);
		}

		/**
		 * Returns whether an entry with an earlier start time belongs to a later start.
		 */
		private boolean isRestart(TargetEntry other, SourcePosition otherWrittenAt) {
			boolean unseen = other.startUnixMillis() != this.entry.startUnixMillis()
					&& !this.formerStarts.contains(other.startUnixMillis());
			boolean mayHaveEnded = !this.entry.draining() || isRemoved();
			return unseen && mayHaveEnded && otherWrittenAt.era() == this.writtenAt.era()
					&& otherWrittenAt.isAfter(this.writtenAt);
		}

		/**
		 * Returns whether the source had removed this entry in an earlier era than that
		 * of an equally old one.
		 */
		boolean leftBefore(TargetEntry other, SourcePosition otherWrittenAt) {
			return isRemoved() && !this.entry.isOlderThan(other) && this.removedAt.era() < otherWrittenAt.era();
		}

		private boolean isRemoved() {
			return this.removedAt.hasContent();
		}

		SeenEntry seenAgainAt(SourcePosition position) {
			return position.isAfter(this.writtenAt)
					? new SeenEntry(this.entry, position, this.removedAt, this.formerStarts) : this;
		}

		SeenEntry removedAt(SourcePosition position) {
			return new SeenEntry(this.entry, this.writtenAt, position, this.formerStarts);
		}

	}

}
