package org.eelgrasspitch.text;

/**
 * A document that was parsed without errors, together with the resulting value.
 *
 * @param <T> {@link Snapshot} for the text, {@link VmList} for the VM list
 * @param document the document, divided into parts
 * @param value the parsed and validated value
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
