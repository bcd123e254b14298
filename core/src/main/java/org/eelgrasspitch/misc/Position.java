package org.eelgrasspitch.misc;

/**
 * A position in a document.
 *
 * @param line line number, starting at 1; 0 if unknown
 * @param column column number in characters, starting at 1; 0 if unknown
 */
public record Position(int line, int column) {

	/** Position of a problem that concerns the whole document. */
	public static final Position UNKNOWN = new Position(0, 0);

	@Override
	public String toString() {
		return this.line + ":" + this.column;
	}

}
