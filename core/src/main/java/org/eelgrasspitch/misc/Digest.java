package org.eelgrasspitch.misc;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Content digest: the first 128 bits of the SHA-256 hash.
 *
 * @param hex 32 lower-case hexadecimal digits
 */
public record Digest(String hex) implements Comparable<Digest> {

	/** Length of a digest in bytes. */
	public static final int BYTES = 16;

	/** Length of a digest in hexadecimal digits. */
	public static final int HEX_DIGITS = 2 * BYTES;

	private static final HexFormat FORMAT = HexFormat.of();

	/**
	 * Computes the digest of the given content.
	 * @param content the bytes to hash
	 * @return the digest
	 */
	public static Digest of(byte[] content) {
		return fromBytes(sha256().digest(content), 0);
	}

	/**
	 * Creates a digest from its binary form.
	 * @param bytes an array with at least {@link #BYTES} bytes from {@code offset}
	 * @param offset index of the first digest byte
	 * @return the digest
	 * @throws IndexOutOfBoundsException if the array is too short
	 */
	public static Digest fromBytes(byte[] bytes, int offset) {
		return new Digest(FORMAT.formatHex(bytes, offset, offset + BYTES));
	}

	/**
	 * Returns whether a string is a digest in text form.
	 * @param text the string
	 * @return true if it consists of {@link #HEX_DIGITS} lower-case hexadecimal digits
	 */
	public static boolean isDigest(String text) {
		return text.matches("[0-9a-f]{" + HEX_DIGITS + "}");
	}

	/**
	 * Returns the binary form of the digest.
	 * @return a new array of {@link #BYTES} bytes
	 */
	public byte[] bytes() {
		return FORMAT.parseHex(this.hex);
	}

	/**
	 * Returns a short form for display.
	 * @return the first eight hexadecimal digits
	 */
	public String abbreviated() {
		return this.hex.substring(0, 8);
	}

	@Override
	public int compareTo(Digest other) {
		return this.hex.compareTo(other.hex);
	}

	@Override
	public String toString() {
		return this.hex;
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

}
