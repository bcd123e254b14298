package org.eelgrasspitch.mesh;

import java.util.List;

/**
 * Changes between two revisions of a published document. Both belong to one era of the
 * source, because nothing is known about what a restoration of the source has changed.
 *
 * @param era era of the source; see {@link SourcePosition}
 * @param from revision that the receiver must hold at least; 0 if {@code items} is the
 * complete document
 * @param to revision that the receiver holds after applying the delta
 * @param items items written between the revisions, or all items of a complete document
 * @param removed keys removed between the revisions; not used for a complete document
 */
public record SourceDelta(long era, long from, long to, List<SourceItem> items, List<String> removed) {

	/**
	 * Creates a delta.
	 */
	public SourceDelta {
		items = List.copyOf(items);
		removed = List.copyOf(removed);
	}

	/**
	 * Returns whether this delta is the complete document.
	 * @return false if it consists of changes
	 */
	public boolean isComplete() {
		return this.from == 0;
	}

	/**
	 * Returns the position that the receiver holds after applying the delta.
	 * @return the position
	 */
	public SourcePosition end() {
		return new SourcePosition(this.era, this.to);
	}

}
