package org.eelgrasspitch.fleet;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.Checked;
import org.eelgrasspitch.text.Document;
import org.eelgrasspitch.text.Part;
import org.eelgrasspitch.text.PartDelta;
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

	/** True to send changes of parts instead of parts where that is shorter. */
	private final boolean sendsDeltas;

	/** Parts held before, by channel. */
	private final Map<Channel, FormerParts> former = new EnumMap<>(Channel.class);

	private final VersionKeeper<Snapshot> text = new VersionKeeper<>();

	private final VersionKeeper<VmList> vms = new VersionKeeper<>();

	Holdings(boolean sendsDeltas) {
		this.sendsDeltas = sendsDeltas;
		for (Channel channel : Channel.values()) {
			this.former.put(channel, new FormerParts());
		}
	}

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
		return remembering(served.channel(), () -> switch (served.channel()) {
			case TEXT -> this.text.offer(revision, () -> TextTool.text(revision, served.content()));
			case VMS -> this.vms.offer(revision, () -> TextTool.vms(revision, served.content()));
		});
	}

	Verdict<?> offer(Document document) {
		long revision = document.version().revision();
		return remembering(document.channel(), () -> switch (document.channel()) {
			case TEXT -> this.text.offer(revision, () -> TextTool.text(document));
			case VMS -> this.vms.offer(revision, () -> TextTool.vms(document));
		});
	}

	/**
	 * Puts a document together from received parts and parts held already.
	 * @param parts the message that carried the manifest and the missing parts
	 * @return the document, or empty when parts are missing or damaged
	 */
	Optional<Document> assemble(PeerMessage.Parts parts) {
		Map<Digest, Part> known = new HashMap<>();
		parts(parts.channel()).forEach((part) -> known.put(part.digest(), part));
		Set<Digest> held = Set.copyOf(known.keySet());
		parts.parts().forEach((part) -> known.putIfAbsent(part.digest(), part));
		for (PartDelta delta : parts.deltas()) {
			Optional.ofNullable(known.get(delta.base()))
				.flatMap(delta::apply)
				.ifPresent((part) -> known.putIfAbsent(part.digest(), part));
		}
		List<Part> ordered = new ArrayList<>();
		for (PeerMessage.PartName name : parts.manifest()) {
			Part part = known.get(name.digest());
			if (part == null) {
				return Optional.empty();
			}
			ordered.add(new Part(name.name(), part.digest(), part.content()));
		}
		return parts.version()
			.flatMap((version) -> Document.received(parts.channel(), version, ordered,
					(part) -> held.contains(part.digest())));
	}

	PeerMessage.Parts reply(PeerMessage.Pull pull) {
		List<PeerMessage.PartName> manifest = new ArrayList<>();
		List<Part> missing = new ArrayList<>();
		List<PartDelta> deltas = new ArrayList<>();
		Set<Digest> known = Set.copyOf(pull.held());
		for (Part part : parts(pull.channel())) {
			manifest.add(new PeerMessage.PartName(part.name(), part.digest()));
			if (!known.contains(part.digest())) {
				delta(pull.channel(), part, known).ifPresentOrElse(deltas::add, () -> missing.add(part));
			}
		}
		return new PeerMessage.Parts(pull.channel(), keeper(pull.channel()).held().map(Checked::version), manifest,
				missing, deltas);
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

	private Optional<PartDelta> delta(Channel channel, Part part, Set<Digest> receiverHolds) {
		return this.sendsDeltas ? this.former.get(channel).delta(part, receiverHolds) : Optional.empty();
	}

	private Verdict<?> remembering(Channel channel, Supplier<Verdict<?>> offer) {
		List<Part> replaced = parts(channel);
		Verdict<?> verdict = offer.get();
		if (verdict instanceof Verdict.Accepted<?>) {
			this.former.get(channel).replace(replaced, parts(channel));
		}
		return verdict;
	}

	private List<Part> parts(Channel channel) {
		return keeper(channel).held().map(Checked::document).map(Document::parts).orElse(List.of());
	}

}
