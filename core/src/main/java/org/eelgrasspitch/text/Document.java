package org.eelgrasspitch.text;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.eelgrasspitch.misc.Digest;

/**
 * One version of a published document, divided into parts. The version's digest covers
 * the names and digests of all parts in order, so that a receiver can verify a complete
 * set of parts against it.
 *
 * @param channel the kind of document
 * @param version revision and digest
 * @param parts all parts in order
 */
public record Document(Channel channel, Version version, List<Part> parts) {

	/**
	 * Creates a document from its parts and computes its digest.
	 * @param channel the kind of document
	 * @param revision the platform's revision
	 * @param parts all parts in order
	 * @return the document
	 */
	public static Document of(Channel channel, long revision, List<Part> parts) {
		return new Document(channel, new Version(revision, digest(parts)), List.copyOf(parts));
	}

	/**
	 * Creates a document from parts, some of which came from another node, and verifies
	 * them against their digests and the version's digest.
	 * @param channel the kind of document
	 * @param version the version that the sender stated
	 * @param parts all parts in order
	 * @param trusted matches the parts that this process already held; their content is
	 * not verified again
	 * @return the document, or empty when a digest of a part or of the version does not
	 * match
	 */
	public static Optional<Document> fromReceivedParts(Channel channel, Version version, List<Part> parts,
			Predicate<Part> trusted) {
		boolean intact = parts.stream().filter(trusted.negate()).allMatch(Part::isIntact);
		if (!intact || !digest(parts).equals(version.digest())) {
			return Optional.empty();
		}
		return Optional.of(new Document(channel, version, List.copyOf(parts)));
	}

	private static Digest digest(List<Part> parts) {
		ByteArrayOutputStream manifest = new ByteArrayOutputStream();
		for (Part part : parts) {
			manifest.writeBytes(part.name().getBytes(StandardCharsets.UTF_8));
			manifest.write(0);
			manifest.writeBytes(part.digest().bytes());
		}
		return Digest.of(manifest.toByteArray());
	}

}
