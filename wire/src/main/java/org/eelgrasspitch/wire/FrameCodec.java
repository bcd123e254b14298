package org.eelgrasspitch.wire;

import java.net.InetSocketAddress;
import java.util.Arrays;

import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.eelgrasspitch.fleet.Peer;
import org.eelgrasspitch.misc.Addresses;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.wire.generated.WireHello;
import org.eelgrasspitch.wire.generated.WireMessage;

/**
 * Encodes {@link Frame}s as bytes and decodes them. The decoder validates addresses,
 * tickets, response statuses, enum ordinals, list sizes and the lengths of parts, deltas,
 * digests and bodies, and throws {@link MalformedFrameException} if one is invalid. It
 * does not check {@code TicketQuery.count} nor the index and count of
 * {@code ManifestEntry.Kept}; the code that uses them does.
 * <p>
 * Thread-safe.
 */
public final class FrameCodec {

	private static final int INITIAL_BUFFER_BYTES = 512;

	/** Strings and binary fields are limited by the frame that contains them. */
	private static final int NO_STRING_LENGTH_LIMIT = -1;

	private final TConfiguration limits = new TConfiguration(WireLimits.MAX_FRAME_BYTES, WireLimits.MAX_FRAME_BYTES,
			WireLimits.MAX_DEPTH);

	private final FleetCodec fleetCodec = new FleetCodec();

	private final CallCodec callCodec = new CallCodec();

	/**
	 * Encodes a frame.
	 * @param frame the frame
	 * @return the bytes, without a length prefix
	 */
	public byte[] encode(Frame frame) {
		WireMessage message = switch (frame) {
			case Frame.Hello hello -> WireMessage.hello(encodeHello(hello));
			case Frame.Fleet fleet -> this.fleetCodec.encode(fleet.message());
			case Frame.Call call -> this.callCodec.encode(call.message());
		};
		try {
			TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BUFFER_BYTES);
			message.write(new TCompactProtocol(buffer));
			return Arrays.copyOf(buffer.getArray(), buffer.length());
		}
		catch (TException ex) {
			throw new IllegalStateException("cannot encode a message in memory", ex);
		}
	}

	/**
	 * Decodes a frame.
	 * @param content the bytes, without a length prefix
	 * @return the frame
	 * @throws MalformedFrameException if the bytes are not a valid frame
	 */
	public Frame decode(byte[] content) throws MalformedFrameException {
		WireMessage message = new WireMessage();
		try {
			TMemoryInputTransport input = new TMemoryInputTransport(this.limits, content);
			message.read(new TCompactProtocol(input, NO_STRING_LENGTH_LIMIT, WireLimits.MAX_ELEMENTS));
		}
		catch (TException | RuntimeException ex) {
			throw new MalformedFrameException(ex.getClass().getSimpleName() + ": " + ex.getMessage());
		}
		if (message.getSetField() == null) {
			throw new MalformedFrameException("unknown message type");
		}
		return switch (message.getSetField()) {
			case HELLO -> decodeHello(message.getHello());
			case STATUS, HEARTBEAT, QUERY, PULL, BASE_UNKNOWN, PARTS ->
				new Frame.Fleet(this.fleetCodec.decode(message));
			case REQUEST, REPLY, CANCEL, TICKET_QUERY, TICKETS, OUTCOME_QUERY, DEATH_NOTICE, NOTED ->
				new Frame.Call(this.callCodec.decode(message));
		};
	}

	private static WireHello encodeHello(Frame.Hello hello) {
		Peer peer = hello.peer();
		return new WireHello(peer.vm(), peer.failureDomain(), Addresses.format(peer.address()), peer.incarnation(),
				hello.purpose().ordinal());
	}

	private static Frame decodeHello(WireHello hello) throws MalformedFrameException {
		InetSocketAddress address = Addresses.parse(hello.getAddress())
			.orElseThrow(() -> new MalformedFrameException("hello with invalid address " + hello.getAddress()));
		Purpose purpose = constantAt(Purpose.values(), hello.getPurpose());
		return new Frame.Hello(new Peer(hello.getVm(), hello.getFailureDomain(), address, hello.getIncarnation()),
				purpose);
	}

	/**
	 * Decodes a digest.
	 * @param bytes the received bytes, {@link Digest#BYTES} of them
	 * @return the digest
	 * @throws MalformedFrameException if the array has another length
	 */
	static Digest decodeDigest(byte[] bytes) throws MalformedFrameException {
		if (bytes.length != Digest.BYTES) {
			throw new MalformedFrameException("invalid digest length of " + bytes.length + " bytes");
		}
		return Digest.fromBytes(bytes, 0);
	}

	/**
	 * Returns the enum constant with a received ordinal.
	 * @param <E> type of the constants
	 * @param constants all constants in order of their ordinals
	 * @param ordinal the received ordinal
	 * @return the constant
	 * @throws MalformedFrameException if there is no such constant
	 */
	static <E> E constantAt(E[] constants, int ordinal) throws MalformedFrameException {
		if (ordinal < 0 || ordinal >= constants.length) {
			throw new MalformedFrameException("unknown enum ordinal " + ordinal);
		}
		return constants[ordinal];
	}

}
