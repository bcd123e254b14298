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
 * Converts {@link PeerMessage}s to and from Thrift structures. The contents of parts are
 * sent compressed. The published document that a message concerns ({@link Channel}) is
 * sent as an ordinal, so the order of its constants is part of the wire format.
 */
final class FleetCodec {

	private final PartCompressor compressor = new PartCompressor();

	WireMessage encode(PeerMessage message) {
		return switch (message) {
			case PeerMessage.Status status -> WireMessage.status(encode(status));
			case PeerMessage.Heartbeat heartbeat ->
				WireMessage.heartbeat(new WireHeartbeat(heartbeat.evidenceAgeMillis(), heartbeat.textRevision(),
						heartbeat.vmsRevision()));
			case PeerMessage.Query query -> WireMessage.query(new WireQuery(query.nonce()));
			case PeerMessage.Pull pull -> WireMessage.pull(encode(pull));
			case PeerMessage.BaseUnknown unknown ->
				WireMessage.baseUnknown(new WireBaseUnknown(unknown.channel().ordinal()));
			case PeerMessage.Parts parts -> WireMessage.parts(encode(parts));
		};
	}

	PeerMessage decode(WireMessage message) throws MalformedFrameException {
		return switch (message.getSetField()) {
			case STATUS -> decodeStatus(message.getStatus());
			case HEARTBEAT -> decodeHeartbeat(message.getHeartbeat());
			case QUERY -> new PeerMessage.Query(message.getQuery().getNonce());
			case PULL -> decodePull(message.getPull());
			case BASE_UNKNOWN -> new PeerMessage.BaseUnknown(
					FrameCodec.constantAt(Channel.values(), message.getBaseUnknown().getChannel()));
			case PARTS -> decodeParts(message.getParts());
			default -> throw new MalformedFrameException("not a document message: " + message.getSetField());
		};
	}

	private static WireStatus encode(PeerMessage.Status status) {
		WireStatus struct = new WireStatus(status.evidenceAgeMillis(), status.rejectedRevision(), status.leaving(),
				status.nonce());
		status.text().ifPresent((version) -> struct.setText(encode(version)));
		status.vms().ifPresent((version) -> struct.setVms(encode(version)));
		return struct;
	}

	private static WireVersion encode(Version version) {
		return new WireVersion(version.revision(), ByteBuffer.wrap(version.digest().bytes()));
	}

	private WireParts encode(PeerMessage.Parts parts) {
		WireParts struct = new WireParts(parts.channel().ordinal(),
				parts.manifest().stream().map(FleetCodec::encode).toList(),
				parts.parts().stream().map(this::encode).toList(),
				parts.deltas().stream().map(FleetCodec::encode).toList());
		parts.version().ifPresent((version) -> struct.setVersion(encode(version)));
		return struct;
	}

	private static WirePull encode(PeerMessage.Pull pull) {
		WirePull struct = new WirePull(pull.channel().ordinal(),
				pull.held().stream().map((digest) -> ByteBuffer.wrap(digest.bytes())).toList());
		pull.base().ifPresent((base) -> struct.setBase(base.bytes()));
		return struct;
	}

	private static WireManifestEntry encode(PeerMessage.ManifestEntry entry) {
		return switch (entry) {
			case PeerMessage.ManifestEntry.Named named ->
				new WireManifestEntry().setName(named.name()).setDigest(named.digest().bytes());
			case PeerMessage.ManifestEntry.Kept kept ->
				new WireManifestEntry().setKept(kept.from()).setCount(kept.count());
		};
	}

	private WirePart encode(Part part) {
		return new WirePart(part.name(), ByteBuffer.wrap(part.digest().bytes()), part.content().length,
				ByteBuffer.wrap(this.compressor.compress(part)));
	}

	private static WireDelta encode(PartDelta delta) {
		return new WireDelta(delta.name(), ByteBuffer.wrap(delta.digest().bytes()),
				ByteBuffer.wrap(delta.base().bytes()), delta.prefixLength(), delta.suffixLength(),
				ByteBuffer.wrap(delta.replacement()));
	}

	private static PeerMessage.Status decodeStatus(WireStatus status) throws MalformedFrameException {
		return new PeerMessage.Status(decodeVersion(status.isSetText(), status.getText()),
				decodeVersion(status.isSetVms(), status.getVms()), status.getEvidenceAgeMillis(),
				status.getRejectedRevision(), status.isLeaving(), status.getNonce());
	}

	private static Optional<Version> decodeVersion(boolean set, WireVersion version) throws MalformedFrameException {
		if (!set) {
			return Optional.empty();
		}
		return Optional.of(new Version(version.getRevision(), FrameCodec.decodeDigest(version.getDigest())));
	}

	private static PeerMessage decodeHeartbeat(WireHeartbeat heartbeat) {
		return new PeerMessage.Heartbeat(heartbeat.getEvidenceAgeMillis(), heartbeat.getTextRevision(),
				heartbeat.getVmsRevision());
	}

	private static PeerMessage decodePull(WirePull pull) throws MalformedFrameException {
		List<Digest> held = new ArrayList<>();
		for (ByteBuffer digest : pull.getHeld()) {
			byte[] bytes = new byte[digest.remaining()];
			digest.duplicate().get(bytes);
			held.add(FrameCodec.decodeDigest(bytes));
		}
		Optional<Digest> base = pull.isSetBase() ? Optional.of(FrameCodec.decodeDigest(pull.getBase()))
				: Optional.empty();
		return new PeerMessage.Pull(FrameCodec.constantAt(Channel.values(), pull.getChannel()), base, held);
	}

	private static PeerMessage decodeParts(WireParts parts) throws MalformedFrameException {
		List<PeerMessage.ManifestEntry> manifest = new ArrayList<>();
		for (WireManifestEntry entry : parts.getManifest()) {
			manifest.add(decodeManifestEntry(entry));
		}
		List<Part> received = new ArrayList<>();
		for (WirePart part : parts.getParts()) {
			byte[] content = PartCompressor.decompress(part.getContent(), part.getLength());
			received.add(new Part(part.getName(), FrameCodec.decodeDigest(part.getDigest()), content));
		}
		List<PartDelta> deltas = new ArrayList<>();
		for (WireDelta delta : parts.getDeltas()) {
			deltas.add(decodeDelta(delta));
		}
		return new PeerMessage.Parts(FrameCodec.constantAt(Channel.values(), parts.getChannel()),
				decodeVersion(parts.isSetVersion(), parts.getVersion()), manifest, received, deltas);
	}

	private static PeerMessage.ManifestEntry decodeManifestEntry(WireManifestEntry entry)
			throws MalformedFrameException {
		if (entry.isSetName() && entry.isSetDigest()) {
			return new PeerMessage.ManifestEntry.Named(entry.getName(), FrameCodec.decodeDigest(entry.getDigest()));
		}
		if (entry.isSetKept() && entry.isSetCount()) {
			return new PeerMessage.ManifestEntry.Kept(entry.getKept(), entry.getCount());
		}
		throw new MalformedFrameException("manifest entry has neither name and digest nor kept and count");
	}

	private static PartDelta decodeDelta(WireDelta delta) throws MalformedFrameException {
		long length = (long) delta.getKept() + delta.getKeptEnd() + delta.getMiddle().length;
		if (delta.getKept() < 0 || delta.getKeptEnd() < 0 || length > WireLimits.MAX_PART_BYTES) {
			throw new MalformedFrameException("delta with invalid lengths, " + length + " bytes in total");
		}
		return new PartDelta(delta.getName(), FrameCodec.decodeDigest(delta.getDigest()),
				FrameCodec.decodeDigest(delta.getBase()), delta.getKept(), delta.getKeptEnd(), delta.getMiddle());
	}

}
