package org.eelgrasspitch.text;

import java.util.Arrays;

import org.eelgrasspitch.misc.Digest;

/**
 * A piece of a document that is transferred only when its digest changed.
 *
 * @param name {@code ""} for the header of a text, else the service or failure domain
 * that the part describes
 * @param digest digest of {@code content}
 * @param content canonical JSON in UTF-8; never modified after construction
 */
public record Part(String name, Digest digest, byte[] content) {

	/**
	 * Creates a part of trusted content.
	 * @param name the part's name
	 * @param content canonical JSON in UTF-8
	 * @return the part with its digest
	 */
	public static Part of(String name, byte[] content) {
		return new Part(name, Digest.of(content), content);
	}

	/**
	 * Tells whether the content has the digest it claims.
	 * @return false for a part that was damaged on its way
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
