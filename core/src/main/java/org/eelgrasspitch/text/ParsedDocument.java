package org.eelgrasspitch.text;

/**
 * A document together with what its parser made of it.
 *
 * @param <T> {@link Snapshot} for the text, {@link VmList} for the VM list
 * @param document the document in parts
 * @param value the parsed and checked value
 */
public record ParsedDocument<T>(Document document, T value) {

	/**
	 * Returns the document's version.
	 * @return the version
	 */
	public Version version() {
		return this.document.version();
	}

}
