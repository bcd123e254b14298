package org.eelgrasspitch.text;

import java.util.Arrays;

import org.eelgrasspitch.misc.Digest;

/**
 * The unit in which documents are transferred. A part is transferred only when its digest
 * has changed.
 *
 * @param name {@code ""} for the header of a text, otherwise the name of the service or
 * failure domain that the part describes
 * @param digest digest of {@code content}
 * @param content compact JSON in UTF-8; never modified after construction
 */
public record Part(String name, Digest digest, byte[] content) {

	/**
	 * Creates a part and computes its digest.
	 * @param name the part's name
	 * @param content compact JSON in UTF-8
	 * @return the part
	 */
	public static Part of(String name, byte[] content) {
		return new Part(name, Digest.of(content), content);
	}

	/**
	 * Tests whether the content matches the digest.
	 * @return false when the part was corrupted in transfer
	 */
	public boolean isIntact() {
		return Digest.of(this.content).equals(this.digest);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Part part && this.name.equals(part.name) && this.digest.equals(part.digest)
				&& Arrays.equals(this.content, part.content);
	}

	@Override
	public int hashCode() {
		return this.digest.hashCode();
	}

	@Override
	public String toString() {
		return "Part[" + this.name + " " + this.digest.abbreviated() + " " + this.content.length + " bytes]";
	}

}
