package org.eelgrasspitch.wire;

import java.io.ByteArrayOutputStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.text.Part;

/**
 * Compresses and decompresses the contents of parts in zlib format. Compressed contents
 * are kept in an LRU cache, because a reader sends the same part to every node of its
 * failure domain.
 */
final class PartCompressor {

	/** Limit of the total length of the cached contents. */
	private static final int MAX_CACHED_BYTES = 2 * 1024 * 1024;

	private static final int BUFFER_BYTES = 8_192;

	/** Compressed contents by digest, least recently used first. */
	private final Map<Digest, byte[]> cache = new LinkedHashMap<>(16, 0.75f, true);

	/** Total length of the cached contents, in bytes. */
	private int cachedBytes;

	synchronized byte[] compress(Part part) {
		byte[] cached = this.cache.get(part.digest());
		if (cached != null) {
			return cached;
		}
		byte[] compressed = deflate(part.content());
		this.cache.put(part.digest(), compressed);
		this.cachedBytes += compressed.length;
		while (this.cachedBytes > MAX_CACHED_BYTES) {
			Digest eldest = this.cache.keySet().iterator().next();
			this.cachedBytes -= this.cache.remove(eldest).length;
		}
		return compressed;
	}

	static byte[] decompress(byte[] compressed, int length) throws MalformedFrameException {
		if (length < 0 || length > WireLimits.MAX_PART_BYTES) {
			throw new MalformedFrameException("invalid part length of " + length + " bytes");
		}
		byte[] content = new byte[length];
		Inflater inflater = new Inflater();
		try {
			inflater.setInput(compressed);
			int decompressedLength = inflater.inflate(content);
			if (decompressedLength != length || (length > 0 && inflater.inflate(new byte[1]) != 0)
					|| !inflater.finished()) {
				throw new MalformedFrameException("decompressed length of a part differs from its declared length");
			}
			return content;
		}
		catch (DataFormatException ex) {
			throw new MalformedFrameException("part cannot be decompressed");
		}
		finally {
			inflater.end();
		}
	}

	private static byte[] deflate(byte[] content) {
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

}
