package org.eelgrasspitch.testkit.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;

/**
 * Reads HTTP/1.1 messages strictly: a message that ends early is an error. Of bodies it
 * keeps the length and a checksum only.
 */
final class HttpReader {

	private static final int BLOCK_BYTES = 8_192;

	private static final int MAX_LINE_BYTES = 65_536;

	private static final int HEXADECIMAL = 16;

	private final InputStream input;

	HttpReader(InputStream input) {
		this.input = new BufferedInputStream(input);
	}

	/**
	 * Returns how many bytes can be read at once.
	 * @return the number
	 * @throws IOException if the connection fails
	 */
	int available() throws IOException {
		return this.input.available();
	}

	/**
	 * Reads a line.
	 * @return the line without its end
	 * @throws EOFException if the connection ends before the line does
	 * @throws IOException if the connection fails
	 */
	String line() throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = this.input.read(); next != '\n'; next = this.input.read()) {
			if (next < 0 || line.length() > MAX_LINE_BYTES) {
				throw new EOFException("after '" + line.substring(0, Math.min(line.length(), 80)) + "'");
			}
			if (next != '\r') {
				line.append((char) next);
			}
		}
		return line.toString();
	}

	/**
	 * Reads header fields with the empty line that ends them.
	 * @return values by name in lower case; those of equal names are joined
	 * @throws IOException if the connection ends or a line is no field
	 */
	Map<String, String> fields() throws IOException {
		Map<String, String> fields = new TreeMap<>();
		for (String line = line(); !line.isEmpty(); line = line()) {
			int colon = line.indexOf(':');
			if (colon < 1) {
				throw new MalformedException(line);
			}
			fields.merge(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim(),
					(first, second) -> first + ", " + second);
		}
		return fields;
	}

	/**
	 * Reads a body.
	 * @param fields header fields of the message
	 * @param untilEnd whether a body without a length ends with the connection; otherwise
	 * there is none
	 * @return length and checksum of the body
	 * @throws IOException if the connection ends before the body does
	 */
	Content body(Map<String, String> fields, boolean untilEnd) throws IOException {
		CRC32 checksum = new CRC32();
		if (fields.containsKey("transfer-encoding")) {
			return chunks(checksum);
		}
		if (fields.containsKey("content-length")) {
			long length = Long.parseLong(fields.get("content-length"));
			read(checksum, length);
			return new Content(length, checksum.getValue());
		}
		long length = (untilEnd) ? readToEnd(checksum) : 0;
		return new Content(length, checksum.getValue());
	}

	private Content chunks(CRC32 checksum) throws IOException {
		long length = 0;
		for (int size = Integer.parseInt(line(), HEXADECIMAL); size > 0; size = Integer.parseInt(line(), HEXADECIMAL)) {
			read(checksum, size);
			length += size;
			line();
		}
		fields();
		return new Content(length, checksum.getValue());
	}

	private void read(CRC32 checksum, long length) throws IOException {
		byte[] block = new byte[(int) Math.min(length, BLOCK_BYTES)];
		long left = length;
		while (left > 0) {
			int count = this.input.read(block, 0, (int) Math.min(left, block.length));
			if (count < 0) {
				throw new EOFException(left + " bytes of the body are missing");
			}
			checksum.update(block, 0, count);
			left -= count;
		}
	}

	private long readToEnd(CRC32 checksum) throws IOException {
		byte[] block = new byte[BLOCK_BYTES];
		long length = 0;
		for (int count = this.input.read(block); count >= 0; count = this.input.read(block)) {
			checksum.update(block, 0, count);
			length += count;
		}
		return length;
	}

	/**
	 * What is known of a body.
	 *
	 * @param length its length in bytes
	 * @param checksum its CRC-32
	 */
	record Content(long length, long checksum) {

		static Content of(byte[] bytes) {
			CRC32 checksum = new CRC32();
			checksum.update(bytes);
			return new Content(bytes.length, checksum.getValue());
		}

	}

	/**
	 * Bytes that are no message.
	 */
	static final class MalformedException extends IOException {

		MalformedException(String line) {
			super(line.substring(0, Math.min(line.length(), 120)));
		}

	}

}
