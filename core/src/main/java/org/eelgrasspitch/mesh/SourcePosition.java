package org.eelgrasspitch.mesh;

import java.util.Comparator;

/**
 * Position in the history of the source of published documents.
 * <p>
 * The source numbers all changes with one counter, the revision. A source that is
 * restored from an older copy has lost the newest changes and gives their revisions out
 * again for other ones, so a revision identifies a state of the source only together with
 * the era. Every restoration begins a later era, and every position of a later era comes
 * after all positions of earlier ones, whatever their revisions.
 * <p>
 * Example: the source is at revision 119 of era 1 when it is restored from a copy of
 * revision 107. The next change has revision 108 of era 2 and comes after revision 119 of
 * era 1.
 *
 * @param era number of the era; 0 if the source does not name eras
 * @param revision revision within the era; 0 before the first content
 */
public record SourcePosition(long era, long revision) implements Comparable<SourcePosition> {

	/** Position of a document that has no content yet. */
	public static final SourcePosition NONE = new SourcePosition(0, 0);

	private static final Comparator<SourcePosition> ORDER = Comparator.comparingLong(SourcePosition::era)
		.thenComparingLong(SourcePosition::revision);

	/**
	 * Returns whether this position comes after another one.
	 * @param other the other position
	 * @return true if it has a later era, or the same era and a higher revision
	 */
	public boolean isAfter(SourcePosition other) {
		return compareTo(other) > 0;
	}

	/**
	 * Returns whether this position is that of a document with content.
	 * @return false before the first content
	 */
	public boolean hasContent() {
		return this.revision > 0;
	}

	@Override
	public int compareTo(SourcePosition other) {
		return ORDER.compare(this, other);
	}

	@Override
	public String toString() {
		return this.era + ":" + this.revision;
	}

}
