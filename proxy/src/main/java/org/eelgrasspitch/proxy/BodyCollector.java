package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Joins short parts of a response's body, and counts all bytes that a connection
 * receives. It stands before the decoder.
 * <p>
 * A target may send a body in chunks of one byte. Each part that is passed on costs some
 * hundred bytes of memory and a message on a link, so parts below {@link #MIN_PART_BYTES}
 * are joined until that length is reached or nothing more has arrived. The decoder hides
 * what frames a part; {@link #takeReceivedBytes} includes it.
 */
final class BodyCollector extends ChannelInboundHandlerAdapter {

	/** Length below which a part waits for the next one that has arrived. */
	private static final int MIN_PART_BYTES = 1_024;

	/** Bytes received since they were last taken, with heads and framing. */
	private long receivedBytes;

	/** Joined parts that were not taken yet. */
	private ByteArrayOutputStream parts = new ByteArrayOutputStream(0);

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.receivedBytes += ((ByteBuf) message).readableBytes();
		context.fireChannelRead(message);
	}

	/**
	 * Returns how many bytes were received since the last call.
	 * @return the number of bytes, with heads and framing
	 */
	long takeReceivedBytes() {
		long taken = this.receivedBytes;
		this.receivedBytes = 0;
		return taken;
	}

	/**
	 * Adds a part of a body.
	 * @param content the part
	 * @return whether what waits is long enough to be taken now
	 */
	boolean add(ByteBuf content) {
		this.parts.writeBytes(ByteBufUtil.getBytes(content, content.readerIndex(), content.readableBytes(), false));
		return this.parts.size() >= MIN_PART_BYTES;
	}

	boolean isEmpty() {
		return this.parts.size() == 0;
	}

	/**
	 * Takes the parts that wait.
	 * @return their bytes; empty if there are none
	 */
	byte[] takeParts() {
		byte[] joined = this.parts.toByteArray();
		this.parts = new ByteArrayOutputStream(0);
		return joined;
	}

	/**
	 * Drops the parts that wait and begins to count anew.
	 */
	void reset() {
		takeParts();
		takeReceivedBytes();
	}

}
