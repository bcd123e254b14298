package org.eelgrasspitch.wire;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.zip.DataFormatException;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.misc.Zlib;
import org.eelgrasspitch.text.Part;

/**
 * Compresses and decompresses the contents of parts in zlib format. Compressed contents
 * are kept in an LRU cache, because a reader sends the same part to every node of its
 * failure domain.
 */
final class PartCompressor {

	/** Limit of the total length of the cached contents. */
	private static final int MAX_CACHED_BYTES = 2 * 1024 * 1024;

	/** Compressed contents by digest, least recently used first. */
	private final Map<Digest, byte[]> cache = new LinkedHashMap<>(16, 0.75f, true);

	/** Total length of the cached contents, in bytes. */
	private int cachedBytes;

	synchronized byte[] compress(Part part) {
		byte[] cached = this.cache.get(part.digest());
		if (cached != null) {
			return cached;
		}
		byte[] compressed = Zlib.compress(part.content());
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
		try {
			return Zlib.decompress(compressed, length);
		}
		catch (DataFormatException ex) {
			throw new MalformedFrameException("part cannot be decompressed: " + ex.getMessage());
		}
	}

}
