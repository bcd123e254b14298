package org.eelgrasspitch.text;

import java.util.Arrays;
import java.util.Optional;

import org.eelgrasspitch.misc.Digest;

/**
 * Encodes a part as a difference from a base part that the receiver holds: a prefix of
 * the base, replacement bytes, and a suffix of the base.
 * <p>
 * Parts are compact JSON, so editing one field leaves the bytes before and after it
 * unchanged, and the range between the first and the last difference is short. Edits at
 * both ends of a part make that range long; {@link #between} then returns no delta, and
 * the part is transferred whole.
 * <p>
 * Example: {@code {"slots":10,"name":"a"}} becomes {@code {"slots":12,"name":"a"}}. The
 * delta has a prefix of 10 bytes, a suffix of 12 bytes and the replacement {@code 2}.
 *
 * @param name the part's name
 * @param digest digest of the resulting part
 * @param base digest of the base part
 * @param prefixLength number of bytes copied from the start of the base
 * @param suffixLength number of bytes copied from the end of the base
 * @param replacement the bytes between prefix and suffix; never modified after
 * construction
 */
public record PartDelta(String name, Digest digest, Digest base, int prefixLength, int suffixLength,
		byte[] replacement) {

	/**
	 * A delta is used only if the part is at least this many times as long as the
	 * replacement bytes; otherwise the part is sent whole.
	 */
	private static final int MIN_SIZE_RATIO = 4;

	/**
	 * Computes the delta from one part to another.
	 * @param base a part that the receiver holds
	 * @param part the part to encode
	 * @return the delta, or empty when it would not be much shorter than the part
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
	 * Applies the delta to its base.
	 * @param basePart the base part
	 * @return the part with the stated digest, which is not verified here, or empty when
	 * the digest of {@code basePart} is not {@link #base}, or when the prefix or suffix
	 * length is negative or both together are longer than the base part
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
