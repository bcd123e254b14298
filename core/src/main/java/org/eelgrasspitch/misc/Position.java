package org.eelgrasspitch.misc;

/**
 * A place in a document.
 *
 * @param line line number, first line 1; 0 when the place is unknown
 * @param column column number in characters, first column 1; 0 when the place is unknown
 */
public record Position(int line, int column) {

	/** The place of a problem that concerns a whole document. */
	public static final Position UNKNOWN = new Position(0, 0);

	@Override
	public String toString() {
		return this.line + ":" + this.column;
	}

}
