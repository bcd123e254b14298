package org.eelgrasspitch.text;

import java.util.Arrays;
import java.util.Optional;

import org.eelgrasspitch.misc.Digest;

/**
 * A part written as a change of another part that the receiver holds: so many bytes of
 * the other's beginning, some bytes of its own, so many bytes of the other's end.
 * <p>
 * Parts are canonical JSON, so an edit of one field leaves everything before and after it
 * as it was, and what lies between the first and the last difference is short. Two edits
 * at both ends of a part make a long delta; {@link #between} then gives none, and the
 * part travels whole.
 * <p>
 * Worked case: {@code {"slots":10,"name":"a"}} becomes {@code {"slots":12,"name":"a"}}.
 * The delta keeps 10 bytes of the beginning and 12 of the end, and carries {@code 2}.
 *
 * @param name the part's name
 * @param digest digest of the part that results
 * @param base digest of the part that is changed
 * @param prefixLength bytes kept from the beginning of the base
 * @param suffixLength bytes kept from the end of the base
 * @param replacement what stands between them; never modified after construction
 */
public record PartDelta(String name, Digest digest, Digest base, int prefixLength, int suffixLength,
		byte[] replacement) {

	/** A delta is worth sending when it is shorter than the part by this factor. */
	private static final int MIN_SIZE_RATIO = 4;

	/**
	 * Writes a part as a change of another.
	 * @param base a part that the receiver holds
	 * @param part the part wanted
	 * @return the change, or empty when it would not be much shorter than the part
	 */
	public static Optional<PartDelta> between(Part base, Part part) {
		byte[] from = base.content();
		byte[] to = part.content();
		int minLength = Math.min(from.length, to.length);
		int mismatch = Arrays.mismatch(from, 0, minLength, to, 0, minLength);
		int prefixLength = (mismatch < 0) ? minLength : mismatch;
		int suffixLength = 0;
		while (suffixLength < minLength - prefixLength
				&& from[from.length - 1 - suffixLength] == to[to.length - 1 - suffixLength]) {
			suffixLength++;
		}
		byte[] replacement = Arrays.copyOfRange(to, prefixLength, to.length - suffixLength);
		if (replacement.length * MIN_SIZE_RATIO > to.length) {
			return Optional.empty();
		}
		return Optional
			.of(new PartDelta(part.name(), part.digest(), base.digest(), prefixLength, suffixLength, replacement));
	}

	/**
	 * Makes the part.
	 * @param basePart the part that is changed
	 * @return the part with the digest claimed, which is not verified here, or empty when
	 * the change does not fit the base
	 */
	public Optional<Part> apply(Part basePart) {
		byte[] content = basePart.content();
		boolean inRange = this.prefixLength >= 0 && this.suffixLength >= 0
				&& this.prefixLength <= content.length - this.suffixLength;
		if (!inRange || !basePart.digest().equals(this.base)) {
			return Optional.empty();
		}
		byte[] result = Arrays.copyOf(content, this.prefixLength + this.replacement.length + this.suffixLength);
		System.arraycopy(this.replacement, 0, result, this.prefixLength, this.replacement.length);
		System.arraycopy(content, content.length - this.suffixLength, result,
				this.prefixLength + this.replacement.length, this.suffixLength);
		return Optional.of(new Part(this.name, this.digest, result));
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof PartDelta delta && this.name.equals(delta.name) && this.digest.equals(delta.digest)
				&& this.base.equals(delta.base) && this.prefixLength == delta.prefixLength
				&& this.suffixLength == delta.suffixLength && Arrays.equals(this.replacement, delta.replacement);
	}

	@Override
	public int hashCode() {
		return this.digest.hashCode();
	}

	@Override
	public String toString() {
		return "PartDelta[" + this.name + " " + this.digest.abbreviated() + " from " + this.base.abbreviated() + " "
				+ this.replacement.length + " bytes]";
	}

}
