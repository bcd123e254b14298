package org.eelgrasspitch.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.Document;
import org.eelgrasspitch.text.DocumentParser;
import org.eelgrasspitch.text.ParsedDocument;
import org.eelgrasspitch.text.Part;
import org.eelgrasspitch.text.PartDelta;
import org.eelgrasspitch.text.Snapshot;
import org.eelgrasspitch.text.Version;
import org.eelgrasspitch.text.VmList;

/**
 * Holds the documents of one process and exchanges them with peers as parts. A document
 * assembled from parts passes digest verification and then the same checks as one that
 * the platform served.
 */
final class DocumentStore {

	/** Number of parts above which a manifest may not add further runs from its base. */
	private static final int MAX_PARTS_BEFORE_RUN = 4_096;

	/** Determines whether pulls use deltas, parts or whole documents. */
	private final Distribution distribution;

	/** Previous document versions by channel. */
	private final Map<Channel, DocumentHistory> histories = new EnumMap<>(Channel.class);

	private final VersionStore<Snapshot> text = new VersionStore<>();

	private final VersionStore<VmList> vms = new VersionStore<>();

	DocumentStore(Distribution distribution) {
		this.distribution = distribution;
		for (Channel channel : Channel.values()) {
			this.histories.put(channel, new DocumentHistory());
		}
	}

	VersionStore<Snapshot> textVersions() {
		return this.text;
	}

	VersionStore<VmList> vmListVersions() {
		return this.vms;
	}

	VersionStore<?> versions(Channel channel) {
		return switch (channel) {
			case TEXT -> this.text;
			case VMS -> this.vms;
		};
	}

	private List<Digest> partDigests(Channel channel) {
		return heldParts(channel).stream().map(Part::digest).toList();
	}

	OfferResult<?> offer(FleetEvent.PlatformServed served) {
		long revision = served.revision();
		return offerAndArchive(served.channel(), () -> switch (served.channel()) {
			case TEXT -> this.text.offer(revision, () -> DocumentParser.parseText(revision, served.content()));
			case VMS -> this.vms.offer(revision, () -> DocumentParser.parseVmList(revision, served.content()));
		});
	}

	OfferResult<?> offer(Document document) {
		long revision = document.version().revision();
		return offerAndArchive(document.channel(), () -> switch (document.channel()) {
			case TEXT -> this.text.offer(revision, () -> DocumentParser.parseText(document));
			case VMS -> this.vms.offer(revision, () -> DocumentParser.parseVmList(document));
		});
	}

	/**
	 * Assembles a document from received parts and deltas and from parts already held.
	 * @param message message with the manifest, the missing parts and the deltas
	 * @return the document, or empty when parts are missing or fail verification
	 */
	Optional<Document> assemble(PeerMessage.Parts message) {
		Map<Digest, Part> partsByDigest = new HashMap<>();
		heldParts(message.channel()).forEach((part) -> partsByDigest.put(part.digest(), part));
		Set<Digest> held = Set.copyOf(partsByDigest.keySet());
		message.parts().forEach((part) -> partsByDigest.putIfAbsent(part.digest(), part));
		for (PartDelta delta : message.deltas()) {
			Optional.ofNullable(partsByDigest.get(delta.base()))
				.flatMap(delta::apply)
				.ifPresent((part) -> partsByDigest.putIfAbsent(part.digest(), part));
		}
		return expandManifest(message).flatMap((entries) -> buildDocument(message, entries, partsByDigest, held));
	}

	private static Optional<Document> buildDocument(PeerMessage.Parts message,
			List<PeerMessage.ManifestEntry.Named> entries, Map<Digest, Part> partsByDigest, Set<Digest> held) {
		List<Part> ordered = new ArrayList<>();
		for (PeerMessage.ManifestEntry.Named entry : entries) {
			Part part = partsByDigest.get(entry.digest());
			if (part == null) {
				return Optional.empty();
			}
			ordered.add(new Part(entry.name(), part.digest(), part.content()));
		}
		return message.version()
			.flatMap((version) -> Document.fromReceivedParts(message.channel(), version, ordered,
					(part) -> held.contains(part.digest())));
	}

	/**
	 * Expands the base references of a manifest.
	 * @return name and digest of each part, or empty when an entry refers to an index
	 * outside of the document held here or a run from the base follows more than
	 * {@value #MAX_PARTS_BEFORE_RUN} parts
	 */
	private Optional<List<PeerMessage.ManifestEntry.Named>> expandManifest(PeerMessage.Parts message) {
		List<Part> base = heldParts(message.channel());
		List<PeerMessage.ManifestEntry.Named> entries = new ArrayList<>();
		for (PeerMessage.ManifestEntry entry : message.manifest()) {
			switch (entry) {
				case PeerMessage.ManifestEntry.Named named -> entries.add(named);
				case PeerMessage.ManifestEntry.Kept kept -> {
					boolean inRange = kept.from() >= 0 && kept.count() > 0 && kept.from() <= base.size() - kept.count();
					if (!inRange || entries.size() > MAX_PARTS_BEFORE_RUN) {
						return Optional.empty();
					}
					base.subList(kept.from(), kept.from() + kept.count())
						.forEach(
								(part) -> entries.add(new PeerMessage.ManifestEntry.Named(part.name(), part.digest())));
				}
			}
		}
		return Optional.of(entries);
	}

	/**
	 * Answers a pull with the parts that the requesting node lacks.
	 * @param pull the request
	 * @return {@link PeerMessage.Parts} with the current document, or
	 * {@link PeerMessage.BaseUnknown} when the base of the pull is not kept here
	 */
	PeerMessage reply(PeerMessage.Pull pull) {
		Optional<List<Part>> base = pull.base().isEmpty() ? Optional.of(List.of())
				: findDocument(pull.channel(), pull.base().get()).map(Document::parts);
		if (base.isEmpty()) {
			return new PeerMessage.BaseUnknown(pull.channel());
		}
		Set<Digest> receiverDigests = new HashSet<>(pull.held());
		base.get().forEach((part) -> receiverDigests.add(part.digest()));
		List<Part> missing = new ArrayList<>();
		List<PartDelta> deltas = new ArrayList<>();
		for (Part part : heldParts(pull.channel())) {
			if (!receiverDigests.contains(part.digest())) {
				delta(pull.channel(), part, receiverDigests).ifPresentOrElse(deltas::add, () -> missing.add(part));
			}
		}
		return new PeerMessage.Parts(pull.channel(), versions(pull.channel()).held().map(ParsedDocument::version),
				DocumentHistory.encodeManifest(base.get(), heldParts(pull.channel())), missing, deltas);
	}

	/**
	 * Creates a request for a later version of a document.
	 * @param channel which document
	 * @param listParts true to list the digests of all parts held instead of naming the
	 * document as base; has an effect with {@link Distribution#DELTAS} only
	 * @return the request
	 */
	PeerMessage.Pull pullRequest(Channel channel, boolean listParts) {
		Optional<Digest> base = versions(channel).held().map((held) -> held.version().digest());
		return switch (this.distribution) {
			case DELTAS -> new PeerMessage.Pull(channel, listParts ? Optional.empty() : base,
					listParts ? partDigests(channel) : List.of());
			case PARTS -> new PeerMessage.Pull(channel, Optional.empty(), partDigests(channel));
			case WHOLE, POLL -> new PeerMessage.Pull(channel, Optional.empty(), List.of());
		};
	}

	/**
	 * Compares the base that the current text names with the version held before. The
	 * check is meaningful only on a node that read both versions from the platform.
	 * Acceptance does not depend on it, so that all nodes make the same decision.
	 * @param previous version held before the current one; empty when there was none
	 * @return description of the mismatch; empty when the text names no base or the right
	 * one
	 */
	Optional<String> baseMismatch(Optional<Version> previous) {
		Optional<ParsedDocument<Snapshot>> held = this.text.held();
		if (previous.isEmpty() || held.isEmpty() || held.get().version().equals(previous.get())) {
			return Optional.empty();
		}
		return held.get()
			.value()
			.text()
			.base()
			.filter((base) -> !base.equals(previous.get().digest()))
			.map((base) -> held.get().version() + " was written against " + base.abbreviated() + ", not "
					+ previous.get());
	}

	private Optional<PartDelta> delta(Channel channel, Part part, Set<Digest> receiverDigests) {
		return (this.distribution == Distribution.DELTAS) ? this.histories.get(channel).delta(part, receiverDigests)
				: Optional.empty();
	}

	/**
	 * Finds a document among the current and the previous versions.
	 */
	private Optional<Document> findDocument(Channel channel, Digest digest) {
		return versions(channel).held()
			.map(ParsedDocument::document)
			.filter((document) -> document.version().digest().equals(digest))
			.or(() -> this.histories.get(channel).find(digest));
	}

	private OfferResult<?> offerAndArchive(Channel channel, Supplier<OfferResult<?>> offer) {
		Optional<Document> replaced = versions(channel).held().map(ParsedDocument::document);
		OfferResult<?> result = offer.get();
		if (result instanceof OfferResult.Accepted<?>) {
			replaced.ifPresent(this.histories.get(channel)::add);
		}
		return result;
	}

	private List<Part> heldParts(Channel channel) {
		return versions(channel).held().map(ParsedDocument::document).map(Document::parts).orElse(List.of());
	}

}
