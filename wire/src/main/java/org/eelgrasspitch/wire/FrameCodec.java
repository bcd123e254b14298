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
 * Translates between {@link Frame}s and bytes. Decoding checks every length, count and
 * enumeration before it uses them and throws {@link MalformedFrameException} for anything
 * that no correct node would send.
 */
public final class FrameCodec {

	private static final int INITIAL_BUFFER_BYTES = 512;

	private static final int NO_STRING_LENGTH_LIMIT = -1;

	private final TConfiguration limits = new TConfiguration(WireLimits.MAX_FRAME_BYTES, WireLimits.MAX_FRAME_BYTES,
			WireLimits.MAX_DEPTH);

	private final FleetCodec fleetCodec = new FleetCodec();

	private final CallCodec callCodec = new CallCodec();

	/**
	 * Encodes a frame.
	 * @param frame the frame
	 * @return its bytes, without a length prefix
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
			throw new IllegalStateException("writing to memory failed", ex);
		}
	}

	/**
	 * Decodes a frame.
	 * @param content its bytes, without a length prefix
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
			throw new MalformedFrameException("unknown kind of message");
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
			.orElseThrow(() -> new MalformedFrameException("hello with address " + hello.getAddress()));
		Purpose purpose = constantAt(Purpose.values(), hello.getPurpose());
		return new Frame.Hello(new Peer(hello.getVm(), hello.getFailureDomain(), address, hello.getIncarnation()),
				purpose);
	}

	/**
	 * Checks the length of a received digest.
	 * @param bytes the received bytes
	 * @return the digest
	 * @throws MalformedFrameException if the length is wrong
	 */
	static Digest decodeDigest(byte[] bytes) throws MalformedFrameException {
		if (bytes.length != Digest.BYTES) {
			throw new MalformedFrameException("digest of " + bytes.length + " bytes");
		}
		return Digest.fromBytes(bytes, 0);
	}

	/**
	 * Looks up an enumeration constant by a received number.
	 * @param <E> type of the constants
	 * @param constants all constants
	 * @param ordinal the received number
	 * @return the constant
	 * @throws MalformedFrameException if there is no such constant
	 */
	static <E> E constantAt(E[] constants, int ordinal) throws MalformedFrameException {
		if (ordinal < 0 || ordinal >= constants.length) {
			throw new MalformedFrameException("no constant " + ordinal);
		}
		return constants[ordinal];
	}

}
