package org.eelgrasspitch.misc;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies content: the first 128 bits of its SHA-256 hash.
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
	 * Computes the digest of some content.
	 * @param content the bytes to identify
	 * @return the digest
	 */
	public static Digest of(byte[] content) {
		return of(sha256().digest(content), 0);
	}

	/**
	 * Wraps digest bytes that were received.
	 * @param bytes at least {@link #BYTES} bytes from {@code offset}
	 * @param offset index of the first digest byte
	 * @return the digest
	 */
	public static Digest of(byte[] bytes, int offset) {
		return new Digest(FORMAT.formatHex(bytes, offset, offset + BYTES));
	}

	/**
	 * Tells whether a string has the form of a digest.
	 * @param text the string
	 * @return true for 32 lower-case hexadecimal digits
	 */
	public static boolean isDigest(String text) {
		return text.matches("[0-9a-f]{" + HEX_DIGITS + "}");
	}

	/**
	 * Returns the digest's bytes.
	 * @return a new array of {@link #BYTES} bytes
	 */
	public byte[] bytes() {
		return FORMAT.parseHex(this.hex);
	}

	/**
	 * Returns a short form for people.
	 * @return the first eight digits
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
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
