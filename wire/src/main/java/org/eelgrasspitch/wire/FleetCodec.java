package org.eelgrasspitch.wire;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.fleet.PeerMessage;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.text.Channel;
import org.eelgrasspitch.text.Part;
import org.eelgrasspitch.text.PartDelta;
import org.eelgrasspitch.text.Version;
import org.eelgrasspitch.wire.generated.WireBaseUnknown;
import org.eelgrasspitch.wire.generated.WireDelta;
import org.eelgrasspitch.wire.generated.WireHeartbeat;
import org.eelgrasspitch.wire.generated.WireManifestEntry;
import org.eelgrasspitch.wire.generated.WireMessage;
import org.eelgrasspitch.wire.generated.WirePart;
import org.eelgrasspitch.wire.generated.WireParts;
import org.eelgrasspitch.wire.generated.WirePull;
import org.eelgrasspitch.wire.generated.WireQuery;
import org.eelgrasspitch.wire.generated.WireStatus;
import org.eelgrasspitch.wire.generated.WireVersion;

/**
 * Translates {@link PeerMessage}s to and from Thrift structures. Parts travel compressed.
 */
final class FleetCodec {

	private final PartCompressor compressor = new PartCompressor();

	WireMessage wire(PeerMessage message) {
		return switch (message) {
			case PeerMessage.Status status -> WireMessage.status(wire(status));
			case PeerMessage.Heartbeat heartbeat ->
				WireMessage.heartbeat(new WireHeartbeat(heartbeat.evidenceAgeMillis(), heartbeat.textRevision(),
						heartbeat.vmsRevision()));
			case PeerMessage.Query query -> WireMessage.query(new WireQuery(query.nonce()));
			case PeerMessage.Pull pull -> WireMessage.pull(wire(pull));
			case PeerMessage.BaseUnknown unknown ->
				WireMessage.baseUnknown(new WireBaseUnknown(unknown.channel().ordinal()));
			case PeerMessage.Parts parts -> WireMessage.parts(wire(parts));
		};
	}

	PeerMessage message(WireMessage message) throws MalformedFrameException {
		return switch (message.getSetField()) {
			case STATUS -> status(message.getStatus());
			case HEARTBEAT -> heartbeat(message.getHeartbeat());
			case QUERY -> new PeerMessage.Query(message.getQuery().getNonce());
			case PULL -> pull(message.getPull());
			case BASE_UNKNOWN -> new PeerMessage.BaseUnknown(
					FrameCodec.constant(Channel.values(), message.getBaseUnknown().getChannel()));
			case PARTS -> parts(message.getParts());
			default -> throw new MalformedFrameException("not about documents: " + message.getSetField());
		};
	}

	private static WireStatus wire(PeerMessage.Status status) {
		WireStatus wire = new WireStatus(status.evidenceAgeMillis(), status.rejectedRevision(), status.leaving(),
				status.nonce());
		status.text().ifPresent((version) -> wire.setText(wire(version)));
		status.vms().ifPresent((version) -> wire.setVms(wire(version)));
		return wire;
	}

	private static WireVersion wire(Version version) {
		return new WireVersion(version.revision(), ByteBuffer.wrap(version.digest().bytes()));
	}

	private WireParts wire(PeerMessage.Parts parts) {
		WireParts wire = new WireParts(parts.channel().ordinal(),
				parts.manifest().stream().map(FleetCodec::wire).toList(),
				parts.parts().stream().map(this::wire).toList(),
				parts.deltas().stream().map(FleetCodec::wire).toList());
		parts.version().ifPresent((version) -> wire.setVersion(wire(version)));
		return wire;
	}

	private static WirePull wire(PeerMessage.Pull pull) {
		WirePull wire = new WirePull(pull.channel().ordinal(),
				pull.held().stream().map((digest) -> ByteBuffer.wrap(digest.bytes())).toList());
		pull.base().ifPresent((base) -> wire.setBase(base.bytes()));
		return wire;
	}

	private static WireManifestEntry wire(PeerMessage.ManifestEntry entry) {
		return switch (entry) {
			case PeerMessage.ManifestEntry.Named named ->
				new WireManifestEntry().setName(named.name()).setDigest(named.digest().bytes());
			case PeerMessage.ManifestEntry.Kept kept ->
				new WireManifestEntry().setKept(kept.from()).setCount(kept.count());
		};
	}

	private WirePart wire(Part part) {
		return new WirePart(part.name(), ByteBuffer.wrap(part.digest().bytes()), part.content().length,
				ByteBuffer.wrap(this.compressor.compress(part)));
	}

	private static WireDelta wire(PartDelta delta) {
		return new WireDelta(delta.name(), ByteBuffer.wrap(delta.digest().bytes()),
				ByteBuffer.wrap(delta.base().bytes()), delta.prefixLength(), delta.suffixLength(),
				ByteBuffer.wrap(delta.replacement()));
	}

	private static PeerMessage.Status status(WireStatus status) throws MalformedFrameException {
		return new PeerMessage.Status(version(status.isSetText(), status.getText()),
				version(status.isSetVms(), status.getVms()), status.getEvidenceAgeMillis(),
				status.getRejectedRevision(), status.isLeaving(), status.getNonce());
	}

	private static Optional<Version> version(boolean set, WireVersion version) throws MalformedFrameException {
		if (!set) {
			return Optional.empty();
		}
		return Optional.of(new Version(version.getRevision(), FrameCodec.digest(version.getDigest())));
	}

	private static PeerMessage heartbeat(WireHeartbeat heartbeat) {
		return new PeerMessage.Heartbeat(heartbeat.getEvidenceAgeMillis(), heartbeat.getTextRevision(),
				heartbeat.getVmsRevision());
	}

	private static PeerMessage pull(WirePull pull) throws MalformedFrameException {
		List<Digest> held = new ArrayList<>();
		for (ByteBuffer digest : pull.getHeld()) {
			byte[] bytes = new byte[digest.remaining()];
			digest.duplicate().get(bytes);
			held.add(FrameCodec.digest(bytes));
		}
		Optional<Digest> base = pull.isSetBase() ? Optional.of(FrameCodec.digest(pull.getBase())) : Optional.empty();
		return new PeerMessage.Pull(FrameCodec.constant(Channel.values(), pull.getChannel()), base, held);
	}

	private static PeerMessage parts(WireParts parts) throws MalformedFrameException {
		List<PeerMessage.ManifestEntry> manifest = new ArrayList<>();
		for (WireManifestEntry entry : parts.getManifest()) {
			manifest.add(entry(entry));
		}
		List<Part> received = new ArrayList<>();
		for (WirePart part : parts.getParts()) {
			byte[] content = PartCompressor.expand(part.getContent(), part.getLength());
			received.add(new Part(part.getName(), FrameCodec.digest(part.getDigest()), content));
		}
		List<PartDelta> deltas = new ArrayList<>();
		for (WireDelta delta : parts.getDeltas()) {
			deltas.add(delta(delta));
		}
		return new PeerMessage.Parts(FrameCodec.constant(Channel.values(), parts.getChannel()),
				version(parts.isSetVersion(), parts.getVersion()), manifest, received, deltas);
	}

	private static PeerMessage.ManifestEntry entry(WireManifestEntry entry) throws MalformedFrameException {
		if (entry.isSetName() && entry.isSetDigest()) {
			return new PeerMessage.ManifestEntry.Named(entry.getName(), FrameCodec.digest(entry.getDigest()));
		}
		if (entry.isSetKept() && entry.isSetCount()) {
			return new PeerMessage.ManifestEntry.Kept(entry.getKept(), entry.getCount());
		}
		throw new MalformedFrameException("manifest entry is neither a part nor a run");
	}

	private static PartDelta delta(WireDelta delta) throws MalformedFrameException {
		long length = (long) delta.getKept() + delta.getKeptEnd() + delta.getMiddle().length;
		if (delta.getKept() < 0 || delta.getKeptEnd() < 0 || length > WireLimits.MAX_PART_BYTES) {
			throw new MalformedFrameException("change of a part to " + length + " bytes");
		}
		return new PartDelta(delta.getName(), FrameCodec.digest(delta.getDigest()), FrameCodec.digest(delta.getBase()),
				delta.getKept(), delta.getKeptEnd(), delta.getMiddle());
	}

}
