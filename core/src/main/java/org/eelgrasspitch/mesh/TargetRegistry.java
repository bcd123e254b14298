package org.eelgrasspitch.mesh;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the directory of targets through everything that happens to their entries.
 * <p>
 * Entries of a target are ordered by its life and its own numbering, not by their
 * arrival: an entry that was written before one already seen is ignored, so a target that
 * has announced its leaving is never believed ready again in the same life.
 * <p>
 * A target whose entry is removed has left and is dropped at once, with one exception.
 * While the source is away entries lapse although their targets live, and come back
 * within {@link #REPUBLISH_GRACE_MILLIS} of its return. So entries that turn out to be
 * missing when the source returns after an absence are kept until that time has passed.
 * <p>
 * Worked case: the source is away for 6 s. On its return, {@code t1} and {@code t2} are
 * missing. {@code t1} is back after 1.2 s and was usable all the time; {@code t2} is
 * dropped after 2 s.
 */
public final class TargetRegistry {

	/**
	 * Time after the source's return in which lapsed entries come back, in milliseconds;
	 * the platform promises it.
	 */
	public static final long REPUBLISH_GRACE_MILLIS = 2_000;

	/**
	 * Time for which a target is kept that peers say is gone while the source does not
	 * answer this node: below the time in which a target that leaves still takes
	 * requests.
	 */
	public static final long SOURCE_AWAY_GRACE_MILLIS = 1_500;

	/** Targets that are remembered after they have gone. */
	private static final int MAX_REMEMBERED_TARGETS = 4_096;

	/** The newest entry of each published or lapsed target. */
	private final Map<String, TargetEntry> entries = new HashMap<>();

	/**
	 * The last entry of each target that was seen, to order later ones; of those that
	 * have gone, the most recent.
	 */
	private final Map<String, TargetEntry> newestEntries = new LinkedHashMap<>();

	/** When each lapsed target is dropped, in monotonic milliseconds. */
	private final Map<String, Long> dropTimes = new HashMap<>();

	/** When entries stop being excused for the last absence of the source. */
	private long graceEndMillis = Long.MIN_VALUE;

	/** Whether the source does not answer this node. */
	private boolean sourceAway;

	/**
	 * Notes that the source does not answer this node any more. What peers say is gone
	 * meanwhile may have lapsed for the same reason.
	 */
	public void sourceLost() {
		this.sourceAway = true;
	}

	/**
	 * Notes that the source is back after an absence too short for entries to lapse.
	 */
	public void sourceReturnedBeforeExpiry() {
		this.sourceAway = false;
	}

	/**
	 * Notes that the source is back after an absence.
	 * @param now current monotonic time in milliseconds
	 */
	public void sourceReturned(long now) {
		this.sourceAway = false;
		this.graceEndMillis = now + REPUBLISH_GRACE_MILLIS;
	}

	/**
	 * Takes over an entry.
	 * @param entry the entry
	 * @return true when it changed what is known
	 */
	public boolean put(TargetEntry entry) {
		TargetEntry newest = this.newestEntries.get(entry.id());
		if (newest != null && entry.isOlderThan(newest)) {
			return false;
		}
		this.newestEntries.remove(entry.id());
		this.newestEntries.put(entry.id(), entry);
		evictOldest();
		this.dropTimes.remove(entry.id());
		return !entry.equals(this.entries.put(entry.id(), entry));
	}

	/**
	 * Returns how many targets are remembered, those that have gone included.
	 * @return the number
	 */
	int rememberedTargets() {
		return this.newestEntries.size();
	}

	private void evictOldest() {
		Iterator<String> oldest = this.newestEntries.keySet().iterator();
		while (this.newestEntries.size() > this.entries.size() + MAX_REMEMBERED_TARGETS && oldest.hasNext()) {
			if (!this.entries.containsKey(oldest.next())) {
				oldest.remove();
			}
		}
	}

	/**
	 * Notes that an entry is no longer published.
	 * @param id identifier of its target
	 * @param now current monotonic time in milliseconds
	 * @return the former entry when the target is gone; empty when it was unknown or has
	 * only lapsed
	 */
	public Optional<TargetEntry> remove(String id, long now) {
		TargetEntry entry = this.entries.get(id);
		if (entry == null) {
			return Optional.empty();
		}
		long until = this.sourceAway ? (now + SOURCE_AWAY_GRACE_MILLIS) : this.graceEndMillis;
		if (now < until && !entry.draining()) {
			this.dropTimes.putIfAbsent(id, until);
			return Optional.empty();
		}
		this.dropTimes.remove(id);
		return Optional.of(this.entries.remove(id));
	}

	/**
	 * Drops the targets whose entries did not come back in time.
	 * @param now current monotonic time in milliseconds
	 * @return the entries that were dropped
	 */
	public List<TargetEntry> expire(long now) {
		List<TargetEntry> dropped = this.dropTimes.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() <= now)
			.map((entry) -> this.entries.get(entry.getKey()))
			.toList();
		dropped.forEach((entry) -> {
			this.dropTimes.remove(entry.id());
			this.entries.remove(entry.id());
		});
		return dropped;
	}

	/**
	 * Returns the present directory.
	 * @return an immutable value
	 */
	public TargetDirectory directory() {
		return new TargetDirectory(this.entries.values());
	}

}
