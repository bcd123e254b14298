package org.eelgrasspitch.misc;

/**
 * A position in a document.
 *
 * @param line line number, starting at 1; 0 if unknown
 * @param column column number in UTF-8 bytes, starting at 1; 0 if unknown
 */
public record Position(int line, int column) {

	/**
	 * Position of a problem without a place in a document, such as one that concerns the
	 * whole document, a frame or a request.
	 */
	public static final Position UNKNOWN = new Position(0, 0);

	@Override
	public String toString() {
		return this.line + ":" + this.column;
	}

}
