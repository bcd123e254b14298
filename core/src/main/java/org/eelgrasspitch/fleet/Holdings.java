package org.eelgrasspitch.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.vavr.control.Either;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.Checked;
import org.eelgrasspitch.text.Document;
import org.eelgrasspitch.text.Part;
import org.eelgrasspitch.text.Snapshot;
import org.eelgrasspitch.text.TextTool;
import org.eelgrasspitch.text.Version;
import org.eelgrasspitch.text.VmList;

/**
 * The documents that one process holds, and their exchange in parts. A document taken
 * from parts goes through the same checks as one that the platform served, after every
 * digest was verified.
 */
final class Holdings {

	private final VersionKeeper<Snapshot> text = new VersionKeeper<>();

	private final VersionKeeper<VmList> vms = new VersionKeeper<>();

	VersionKeeper<Snapshot> text() {
		return this.text;
	}

	VersionKeeper<VmList> vms() {
		return this.vms;
	}

	VersionKeeper<?> keeper(Channel channel) {
		return switch (channel) {
			case TEXT -> this.text;
			case VMS -> this.vms;
		};
	}

	List<Digest> digests(Channel channel) {
		return parts(channel).stream().map(Part::digest).toList();
	}

	Verdict<?> offer(FleetEvent.PlatformServed served) {
		long revision = served.revision();
		return switch (served.channel()) {
			case TEXT -> this.text.offer(revision, () -> TextTool.text(revision, served.content()));
			case VMS -> this.vms.offer(revision, () -> TextTool.vms(revision, served.content()));
		};
	}

	Verdict<?> offer(Document document) {
		return switch (document.channel()) {
			case TEXT -> this.text.offer(document.version().revision(), () -> parseText(document));
			case VMS -> this.vms.offer(document.version().revision(), () -> parseVms(document));
		};
	}

	/**
	 * Puts a document together from received parts and parts held already.
	 * @param parts the message that carried the manifest and the missing parts
	 * @return the document, or empty when parts are missing or damaged
	 */
	Optional<Document> assemble(PeerMessage.Parts parts) {
		Map<Digest, Part> known = new HashMap<>();
		parts(parts.channel()).forEach((part) -> known.put(part.digest(), part));
		parts.parts().forEach((part) -> known.put(part.digest(), part));
		List<Part> ordered = new ArrayList<>();
		for (PeerMessage.PartName name : parts.manifest()) {
			Part part = known.get(name.digest());
			if (part == null) {
				return Optional.empty();
			}
			ordered.add(new Part(name.name(), part.digest(), part.content()));
		}
		return parts.version()
			.map((version) -> new Document(parts.channel(), version, List.copyOf(ordered)))
			.filter(Document::isIntact);
	}

	PeerMessage.Parts reply(PeerMessage.Pull pull) {
		List<PeerMessage.PartName> manifest = new ArrayList<>();
		List<Part> missing = new ArrayList<>();
		Set<Digest> known = Set.copyOf(pull.held());
		for (Part part : parts(pull.channel())) {
			manifest.add(new PeerMessage.PartName(part.name(), part.digest()));
			if (!known.contains(part.digest())) {
				missing.add(part);
			}
		}
		return new PeerMessage.Parts(pull.channel(), keeper(pull.channel()).held().map(Checked::version), manifest,
				missing);
	}

	/**
	 * Compares the base of the text held with the one held before. Only a node that read
	 * both from the platform can tell; acceptance does not depend on it, so that all
	 * nodes decide alike.
	 * @param former version held before; empty when none
	 * @return what to report; empty when the text names no base or the right one
	 */
	Optional<String> baseMismatch(Optional<Version> former) {
		Optional<Checked<Snapshot>> held = this.text.held();
		if (former.isEmpty() || held.isEmpty() || held.get().version().equals(former.get())) {
			return Optional.empty();
		}
		return held.get()
			.value()
			.text()
			.base()
			.filter((base) -> !base.equals(former.get().digest()))
			.map((base) -> held.get().version() + " was written against " + base.abbreviated() + ", not "
					+ former.get());
	}

	private List<Part> parts(Channel channel) {
		return keeper(channel).held().map(Checked::document).map(Document::parts).orElse(List.of());
	}

	private static Either<List<Problem>, Checked<Snapshot>> parseText(Document document) {
		return TextTool.joined(document)
			.flatMap((content) -> TextTool.text(document.version().revision(), content))
			.map((parsed) -> new Checked<>(document, new Snapshot(document.version(), parsed.value().text())));
	}

	private static Either<List<Problem>, Checked<VmList>> parseVms(Document document) {
		return TextTool.joined(document)
			.flatMap((content) -> TextTool.vms(document.version().revision(), content))
			.map((parsed) -> new Checked<>(document, parsed.value()));
	}

}
