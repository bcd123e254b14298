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
import org.eelgrasspitch.wire.generated.WireDelta;
import org.eelgrasspitch.wire.generated.WireHeartbeat;
import org.eelgrasspitch.wire.generated.WireMessage;
import org.eelgrasspitch.wire.generated.WirePart;
import org.eelgrasspitch.wire.generated.WirePartName;
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
				WireMessage.heartbeat(new WireHeartbeat(heartbeat.evidenceAgeMillis()));
			case PeerMessage.Query query -> WireMessage.query(new WireQuery(query.nonce()));
			case PeerMessage.Pull pull -> WireMessage.pull(new WirePull(pull.channel().ordinal(),
					pull.held().stream().map((digest) -> ByteBuffer.wrap(digest.bytes())).toList()));
			case PeerMessage.Parts parts -> WireMessage.parts(wire(parts));
		};
	}

	PeerMessage message(WireMessage message) throws MalformedFrameException {
		return switch (message.getSetField()) {
			case STATUS -> status(message.getStatus());
			case HEARTBEAT -> new PeerMessage.Heartbeat(message.getHeartbeat().getEvidenceAgeMillis());
			case QUERY -> new PeerMessage.Query(message.getQuery().getNonce());
			case PULL -> pull(message.getPull());
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
		List<WirePartName> manifest = parts.manifest()
			.stream()
			.map((name) -> new WirePartName(name.name(), ByteBuffer.wrap(name.digest().bytes())))
			.toList();
		WireParts wire = new WireParts(parts.channel().ordinal(), manifest,
				parts.parts().stream().map(this::wire).toList(),
				parts.deltas().stream().map(FleetCodec::wire).toList());
		parts.version().ifPresent((version) -> wire.setVersion(wire(version)));
		return wire;
	}

	private WirePart wire(Part part) {
		return new WirePart(part.name(), ByteBuffer.wrap(part.digest().bytes()), part.content().length,
				ByteBuffer.wrap(this.compressor.compress(part)));
	}

	private static WireDelta wire(PartDelta delta) {
		return new WireDelta(delta.name(), ByteBuffer.wrap(delta.digest().bytes()),
				ByteBuffer.wrap(delta.base().bytes()), delta.kept(), delta.keptEnd(), ByteBuffer.wrap(delta.middle()));
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

	private static PeerMessage pull(WirePull pull) throws MalformedFrameException {
		List<Digest> held = new ArrayList<>();
		for (ByteBuffer digest : pull.getHeld()) {
			byte[] bytes = new byte[digest.remaining()];
			digest.duplicate().get(bytes);
			held.add(FrameCodec.digest(bytes));
		}
		return new PeerMessage.Pull(FrameCodec.constant(Channel.values(), pull.getChannel()), held);
	}

	private static PeerMessage parts(WireParts parts) throws MalformedFrameException {
		List<PeerMessage.PartName> manifest = new ArrayList<>();
		for (WirePartName name : parts.getManifest()) {
			manifest.add(new PeerMessage.PartName(name.getName(), FrameCodec.digest(name.getDigest())));
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

	private static PartDelta delta(WireDelta delta) throws MalformedFrameException {
		long length = (long) delta.getKept() + delta.getKeptEnd() + delta.getMiddle().length;
		if (delta.getKept() < 0 || delta.getKeptEnd() < 0 || length > WireLimits.MAX_PART_BYTES) {
			throw new MalformedFrameException("change of a part to " + length + " bytes");
		}
		return new PartDelta(delta.getName(), FrameCodec.digest(delta.getDigest()), FrameCodec.digest(delta.getBase()),
				delta.getKept(), delta.getKeptEnd(), delta.getMiddle());
	}

}
