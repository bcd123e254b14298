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
 * @param kept bytes kept from the beginning of the base
 * @param keptEnd bytes kept from the end of the base
 * @param middle what stands between them; never modified after construction
 */
public record PartDelta(String name, Digest digest, Digest base, int kept, int keptEnd, byte[] middle) {

	/** A delta is worth sending when it is shorter than the part by this factor. */
	private static final int WORTH = 4;

	/**
	 * Writes a part as a change of another.
	 * @param base a part that the receiver holds
	 * @param part the part wanted
	 * @return the change, or empty when it would not be much shorter than the part
	 */
	public static Optional<PartDelta> between(Part base, Part part) {
		byte[] from = base.content();
		byte[] to = part.content();
		int shorter = Math.min(from.length, to.length);
		int mismatch = Arrays.mismatch(from, 0, shorter, to, 0, shorter);
		int kept = (mismatch < 0) ? shorter : mismatch;
		int keptEnd = 0;
		while (keptEnd < shorter - kept && from[from.length - 1 - keptEnd] == to[to.length - 1 - keptEnd]) {
			keptEnd++;
		}
		byte[] middle = Arrays.copyOfRange(to, kept, to.length - keptEnd);
		if (middle.length * WORTH > to.length) {
			return Optional.empty();
		}
		return Optional.of(new PartDelta(part.name(), part.digest(), base.digest(), kept, keptEnd, middle));
	}

	/**
	 * Makes the part.
	 * @param from the part that is changed
	 * @return the part with the digest claimed, which is not verified here, or empty when
	 * the change does not fit the base
	 */
	public Optional<Part> apply(Part from) {
		byte[] content = from.content();
		boolean fits = this.kept >= 0 && this.keptEnd >= 0 && this.kept <= content.length - this.keptEnd;
		if (!fits || !from.digest().equals(this.base)) {
			return Optional.empty();
		}
		byte[] result = Arrays.copyOf(content, this.kept + this.middle.length + this.keptEnd);
		System.arraycopy(this.middle, 0, result, this.kept, this.middle.length);
		System.arraycopy(content, content.length - this.keptEnd, result, this.kept + this.middle.length, this.keptEnd);
		return Optional.of(new Part(this.name, this.digest, result));
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof PartDelta delta && this.name.equals(delta.name) && this.digest.equals(delta.digest)
				&& this.base.equals(delta.base) && this.kept == delta.kept && this.keptEnd == delta.keptEnd
				&& Arrays.equals(this.middle, delta.middle);
	}

	@Override
	public int hashCode() {
		return this.digest.hashCode();
	}

	@Override
	public String toString() {
		return "PartDelta[" + this.name + " " + this.digest.abbreviated() + " from " + this.base.abbreviated() + " "
				+ this.middle.length + " bytes]";
	}

}
