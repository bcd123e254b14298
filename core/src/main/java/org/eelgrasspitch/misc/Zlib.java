package org.eelgrasspitch.misc;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses and decompresses byte arrays in zlib format.
 */
public final class Zlib {

	private static final int BUFFER_BYTES = 8_192;

	private Zlib() {
	}

	/**
	 * Compresses a content.
	 * @param content the content
	 * @return the compressed content
	 */
	public static byte[] compress(byte[] content) {
		Deflater deflater = new Deflater();
		try {
			deflater.setInput(content);
			deflater.finish();
			ByteArrayOutputStream output = new ByteArrayOutputStream();
			byte[] buffer = new byte[BUFFER_BYTES];
			while (!deflater.finished()) {
				output.write(buffer, 0, deflater.deflate(buffer));
			}
			return output.toByteArray();
		}
		finally {
			deflater.end();
		}
	}

	/**
	 * Decompresses a content. The caller must have checked the length, because it
	 * determines the size of the allocated array.
	 * @param compressed the compressed content
	 * @param length length of the content in bytes, 0 or more
	 * @return the content
	 * @throws DataFormatException if the compressed content is invalid, incomplete or of
	 * another length
	 */
	public static byte[] decompress(byte[] compressed, int length) throws DataFormatException {
		byte[] content = new byte[length];
		Inflater inflater = new Inflater();
		try {
			inflater.setInput(compressed);
			int decompressedLength = inflater.inflate(content);
			if (decompressedLength != length || (length > 0 && inflater.inflate(new byte[1]) != 0)
					|| !inflater.finished()) {
				throw new DataFormatException("decompressed length differs from the declared length");
			}
			return content;
		}
		finally {
			inflater.end();
		}
	}

}
