package org.eelgrasspitch.mesh;

import java.util.Optional;
import java.util.TreeMap;

/**
 * Configurations that were received and are not decoded yet.
 * <p>
 * Load pattern: operators publish configurations of many routes in quick succession.
 * Decoding each one would take more processor time than a small VM has, and all but the
 * last are replaced at once. Only the newest is decoded, and an older one only if the
 * newer ones are invalid. The newest is the one with the highest version, whatever the
 * order of arrival: a source may be set back and deliver an older version later.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class PendingConfigs {

	/** Maximum number of configurations kept; the oldest versions are dropped. */
	static final int MAX_PENDING = 3;

	private final TreeMap<Long, SourceItem> itemsByVersion = new TreeMap<>();

	/**
	 * Adds a configuration. It replaces a pending one of the same version.
	 * @param version its version
	 * @param item its published item
	 */
	public void add(long version, SourceItem item) {
		this.itemsByVersion.put(version, item);
		if (this.itemsByVersion.size() > MAX_PENDING) {
			this.itemsByVersion.pollFirstEntry();
		}
	}

	/**
	 * Returns whether no configuration is pending.
	 * @return true if there is none
	 */
	public boolean isEmpty() {
		return this.itemsByVersion.isEmpty();
	}

	/**
	 * Returns the newest configuration.
	 * @return its item; empty if none is pending
	 */
	public Optional<SourceItem> newest() {
		return Optional.ofNullable(this.itemsByVersion.lastEntry()).map((entry) -> entry.getValue());
	}

	/**
	 * Removes and returns the newest configuration.
	 * @return its item; empty if none is pending
	 */
	public Optional<SourceItem> pollNewest() {
		Optional<SourceItem> newest = newest();
		this.itemsByVersion.pollLastEntry();
		return newest;
	}

	/**
	 * Drops all pending configurations, after a newer one was applied.
	 */
	public void clear() {
		this.itemsByVersion.clear();
	}

}
