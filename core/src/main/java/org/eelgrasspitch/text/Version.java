package org.eelgrasspitch.text;

import org.eelgrasspitch.misc.Digest;

/**
 * One published version of a document.
 *
 * @param revision the platform's revision; versions of one channel are totally ordered by
 * it
 * @param digest digest over the version's parts; equal digests mean equal content
 */
public record Version(long revision, Digest digest) {

	/**
	 * Tells whether this version is later than another one.
	 * @param other the other version
	 * @return true when its revision is higher
	 */
	public boolean isAfter(Version other) {
		return this.revision > other.revision;
	}

	@Override
	public String toString() {
		return this.revision + "@" + this.digest.abbreviated();
	}

}
