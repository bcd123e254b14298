package org.eelgrasspitch.text;

import org.eelgrasspitch.misc.Digest;

/**
 * One published version of a document.
 *
 * @param revision the platform's revision number, a total order of the versions of one
 * channel
 * @param digest digest of the document's parts; equal digests mean equal content
 */
public record Version(long revision, Digest digest) {

	/**
	 * Tests whether this version is newer than another one.
	 * @param other the other version
	 * @return true when this revision is higher
	 */
	public boolean isAfter(Version other) {
		return this.revision > other.revision;
	}

	@Override
	public String toString() {
		return this.revision + "@" + this.digest.abbreviated();
	}

}
