package org.eelgrasspitch.mesh;

import java.util.List;

/**
 * Difference between two revisions of a published document.
 *
 * @param from revision that the receiver must have reached; 0 when {@code items} is the
 * whole document
 * @param to revision that the receiver has reached afterwards
 * @param items items that were written in between, or all of them
 * @param removed keys that were removed in between
 */
public record SourceDelta(long from, long to, List<SourceItem> items, List<String> removed) {

	/**
	 * Creates a difference.
	 */
	public SourceDelta {
		items = List.copyOf(items);
		removed = List.copyOf(removed);
	}

}
