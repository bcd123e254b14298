package org.eelgrasspitch.mesh;

import java.util.List;

/**
 * Changes between two revisions of a published document.
 *
 * @param from revision that the receiver must hold at least; 0 if {@code items} is the
 * complete document
 * @param to revision that the receiver holds after applying the delta
 * @param items items written between the revisions, or all items of a complete document
 * @param removed keys removed between the revisions; not used for a complete document
 */
public record SourceDelta(long from, long to, List<SourceItem> items, List<String> removed) {

	/**
	 * Creates a delta.
	 */
	public SourceDelta {
		items = List.copyOf(items);
		removed = List.copyOf(removed);
	}

}
