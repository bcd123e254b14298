package org.eelgrasspitch.proxy;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.zip.DataFormatException;

import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.eelgrasspitch.mesh.SourceDelta;
import org.eelgrasspitch.mesh.SourceItem;
import org.eelgrasspitch.mesh.SourcePosition;
import org.eelgrasspitch.mesh.TargetLoad;
import org.eelgrasspitch.mesh.TargetStatements;
import org.eelgrasspitch.misc.Zlib;
import org.eelgrasspitch.proxy.generated.LinkBeat;
import org.eelgrasspitch.proxy.generated.LinkCall;
import org.eelgrasspitch.proxy.generated.LinkDocument;
import org.eelgrasspitch.proxy.generated.LinkFailure;
import org.eelgrasspitch.proxy.generated.LinkItem;
import org.eelgrasspitch.proxy.generated.LinkLoad;
import org.eelgrasspitch.proxy.generated.LinkMessage;
import org.eelgrasspitch.proxy.generated.LinkPackedDocument;
import org.eelgrasspitch.proxy.generated.LinkPull;
import org.eelgrasspitch.proxy.generated.LinkReply;

/**
 * Encodes and decodes link messages and converts between them and the types of this
 * module. Invalid input throws an exception, which closes the link.
 */
final class LinkFrames {

	/** Maximum frame size; exceeds a complete configuration of maximum size. */
	static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

	/** Size of the length prefix of a frame. */
	static final int LENGTH_PREFIX_BYTES = Integer.BYTES;

	private static final int MAX_NESTING_DEPTH = 16;

	private static final int MAX_CONTAINER_ELEMENTS = 65_536;

	private static final int INITIAL_BUFFER_BYTES = 256;

	private static final int NO_STRING_LIMIT = -1;

	private static final TConfiguration LIMITS = new TConfiguration(MAX_FRAME_BYTES, MAX_FRAME_BYTES,
			MAX_NESTING_DEPTH);

	private LinkFrames() {
	}

	static byte[] encode(LinkMessage message) {
		return write(message);
	}

	/**
	 * Encodes a message for the link. As one buffer it is written, or withdrawn, as a
	 * whole.
	 * @param message the message
	 * @return the length of the message in {@link #LENGTH_PREFIX_BYTES}, and the message
	 */
	static byte[] frame(LinkMessage message) {
		byte[] content = write(message);
		return ByteBuffer.allocate(LENGTH_PREFIX_BYTES + content.length).putInt(content.length).put(content).array();
	}

	static byte[] encodeDocument(LinkDocument document) {
		return write(document);
	}

	static LinkPackedDocument pack(byte[] encodedDocument) {
		return new LinkPackedDocument(encodedDocument.length, ByteBuffer.wrap(Zlib.compress(encodedDocument)));
	}

	/**
	 * Decompresses and decodes a document.
	 * @param packed the compressed document
	 * @return the document
	 * @throws TException if it is too long or malformed
	 */
	static LinkDocument unpack(LinkPackedDocument packed) throws TException {
		if (packed.getLength() < 0 || packed.getLength() > MAX_FRAME_BYTES) {
			throw new TException("packed document of " + packed.getLength() + " bytes");
		}
		try {
			LinkDocument document = new LinkDocument();
			read(document, Zlib.decompress(packed.getContent(), packed.getLength()));
			return document;
		}
		catch (DataFormatException ex) {
			throw new TException("packed document cannot be decompressed", ex);
		}
	}

	private static byte[] write(TBase<?, ?> message) {
		try {
			TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BUFFER_BYTES);
			message.write(new TCompactProtocol(buffer));
			return Arrays.copyOf(buffer.getArray(), buffer.length());
		}
		catch (TException ex) {
			throw new IllegalStateException("cannot encode link message", ex);
		}
	}

	static LinkMessage decode(byte[] content) throws TException {
		LinkMessage message = new LinkMessage();
		read(message, content);
		if (message.getSetField() == null) {
			throw new TException("link message of unknown type");
		}
		return message;
	}

	private static void read(TBase<?, ?> message, byte[] content) throws TException {
		message.read(new TCompactProtocol(new TMemoryInputTransport(LIMITS, content), NO_STRING_LIMIT,
				MAX_CONTAINER_ELEMENTS));
	}

	static LinkLoad toWire(TargetLoad load) {
		LinkLoad wire = new LinkLoad((byte) load.state().ordinal(), load.running(), load.waiting(), load.slots(),
				load.waitMillis(), load.serviceMillis(), load.failurePercent());
		return load.isLimited() ? wire.setLimitPerSecond(load.limitPerSecond()) : wire;
	}

	static TargetLoad fromWire(LinkLoad load) {
		TargetLoad.State state = enumConstant(TargetLoad.State.values(), load.getState());
		return new TargetLoad(state, load.getRunning(), load.getWaiting(), load.getSlots(), load.getWaitMillis(),
				load.getServiceMillis(), load.getFailurePercent(),
				load.isSetLimitPerSecond() ? load.getLimitPerSecond() : TargetStatements.NO_LIMIT);
	}

	static LinkCall toWire(long stream, CallHead head, long now) {
		LinkCall wire = new LinkCall(stream, head.route(), head.target(), head.requestId(), head.method(), head.uri(),
				head.headers(), (int) Math.max(0, head.deadlineAtMillis() - now),
				(int) (head.objectiveAtMillis() - now), head.rank(), head.idempotent(), head.bodyLength(), head.retry(),
				head.logged());
		return (head.targetLimitPerSecond() < TargetStatements.NO_LIMIT)
				? wire.setTargetLimitPerSecond(head.targetLimitPerSecond()) : wire;
	}

	static CallHead fromWire(LinkCall call, long now) {
		return new CallHead(call.getRequestId(), call.getRoute(), call.getTarget(), call.getMethod(), call.getUri(),
				call.getHeaders(), now + call.getRemainingMillis(), now + call.getObjectiveMillis(), call.getRank(),
				call.isIdempotent(), call.isRepeat(), call.isLogged(),
				call.isSetTargetLimitPerSecond() ? call.getTargetLimitPerSecond() : TargetStatements.NO_LIMIT,
				call.getBodyLength());
	}

	static LinkReply toWire(long stream, ReplyHead reply) {
		return new LinkReply(stream, reply.status(), reply.headers(), reply.bodyLength(), toWire(reply.load()),
				reply.targetMillis());
	}

	static ReplyHead fromWire(LinkReply reply) {
		return new ReplyHead(reply.getStatus(), reply.getHeaders(), reply.getBodyLength(), reply.getTargetMillis(),
				fromWire(reply.getLoad()));
	}

	static LinkFailure toWire(long stream, CallFailure failure) {
		return new LinkFailure(stream, (byte) failure.reason().ordinal(), failure.reachedTarget(), failure.mayHaveRun(),
				failure.retryAfterMillis(), toWire(failure.load()));
	}

	static CallFailure fromWire(LinkFailure failure) {
		return new CallFailure(enumConstant(FailureReason.values(), failure.getReason()), failure.isReachedTarget(),
				failure.isMayHaveRun(), failure.getReturnMillis(), fromWire(failure.getLoad()));
	}

	static LinkDocument toWire(SourceChannel channel, SourceDelta delta) {
		List<LinkItem> items = delta.items()
			.stream()
			.map((item) -> new LinkItem(item.key(), ByteBuffer.wrap(item.value()), item.revision()))
			.toList();
		return new LinkDocument((byte) channel.ordinal(), delta.from(), delta.to(), items, delta.removed())
			.setEra(delta.era());
	}

	/**
	 * Converts a document.
	 * @param document the document
	 * @param heldEra era of the source that this node knows
	 * @return the delta
	 */
	static SourceDelta fromWire(LinkDocument document, long heldEra) {
		List<SourceItem> items = document.getItems()
			.stream()
			.map((item) -> new SourceItem(item.getKey(), item.getValue(), item.getRevision()))
			.toList();
		return new SourceDelta(document.isSetEra() ? document.getEra() : heldEra, document.getSince(),
				document.getUpTo(), items, document.getRemoved());
	}

	/**
	 * Returns the position of the last change of a document that a heartbeat names.
	 * @param beat the heartbeat
	 * @param channel the document
	 * @param heldEra era of the source that this node knows
	 * @return the position, or {@link SourcePosition#NONE} if the heartbeat names none
	 */
	static SourcePosition lastChange(LinkBeat beat, SourceChannel channel, long heldEra) {
		int index = channel.ordinal();
		if (index >= beat.getChangesSize()) {
			return SourcePosition.NONE;
		}
		long era = (index < beat.getErasSize()) ? beat.getEras().get(index) : heldEra;
		return new SourcePosition(era, beat.getChanges().get(index));
	}

	static SourcePosition heldPosition(LinkPull pull, long heldEra) {
		return new SourcePosition(pull.isSetEra() ? pull.getEra() : heldEra, pull.getSince());
	}

	static SourceChannel channelFromWire(byte ordinal) {
		return enumConstant(SourceChannel.values(), ordinal);
	}

	static <E> E enumConstant(E[] constants, int ordinal) {
		if (ordinal < 0 || ordinal >= constants.length) {
			throw new IllegalArgumentException("enum ordinal out of range: " + ordinal);
		}
		return constants[ordinal];
	}

}
