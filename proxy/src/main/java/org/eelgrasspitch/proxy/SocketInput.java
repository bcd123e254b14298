package org.eelgrasspitch.proxy;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * What arrives on a connection, before it is decoded. The first handler of its pipeline.
 * <p>
 * The end of a connection lies behind the bytes that were sent before it, and is seen
 * only when these are read. Two things would hide it. An event loop that is behind reads
 * a request, handles it, and reads the end with a later pass over its sockets: a decision
 * that depends on the end calls {@link #readPending} first. And a connection whose
 * requests must wait would not be read at all: {@link #setHolding} therefore stops the
 * decoding first, and the reading only when {@link #MAX_HELD_BYTES} are held.
 * <p>
 * Example: a caller has 16 requests in progress, sends one more and closes the
 * connection. The last request is held, the end is read, and the 16 are cancelled.
 * <p>
 * Not thread-safe; must be used on the event loop.
 */
final class SocketInput extends ChannelInboundHandlerAdapter {

	/** Bytes of a connection that are held before it is read no more. */
	static final int MAX_HELD_BYTES = 8_192;

	/**
	 * Maximum number of passes that {@link #readPending} makes over a connection whose
	 * peer goes on sending.
	 */
	private static final int MAX_PASSES = 16;

	/** Called before bytes are decoded. */
	private final Runnable decodingListener;

	/** Bytes that are not decoded yet, oldest first. */
	private final Deque<ByteBuf> held = new ArrayDeque<>();

	private int heldBytes;

	private boolean holding;

	private boolean releaseScheduled;

	private ChannelHandlerContext context;

	/** Whether the bytes of this pass are being handled. */
	private boolean reading;

	/** Whether the last pass has found bytes. */
	private boolean received;

	SocketInput(Runnable decodingListener) {
		this.decodingListener = decodingListener;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	/**
	 * Reads and handles what has arrived on the connection, up to its end if there is
	 * one. Does nothing while the connection is being read, or is not read because too
	 * much of it is held.
	 * @return false if the connection has ended
	 */
	boolean readPending() {
		Channel channel = this.context.channel();
		for (int pass = 0; pass < MAX_PASSES && mayRead(channel); pass++) {
			this.received = false;
			((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
			if (!this.received) {
				break;
			}
		}
		return channel.isActive();
	}

	private boolean mayRead(Channel channel) {
		return !this.reading && channel.isActive() && channel.isRegistered() && channel.config().isAutoRead();
	}

	/**
	 * Stops or continues the decoding. Held bytes are decoded later, in their order.
	 * @param hold whether what arrives is to be held
	 */
	void setHolding(boolean hold) {
		this.holding = hold;
		if (hold || this.releaseScheduled) {
			return;
		}
		if (this.held.isEmpty()) {
			this.context.channel().config().setAutoRead(true);
			return;
		}
		// Not from within the decoder, which may be the caller.
		this.releaseScheduled = true;
		this.context.executor().execute(this::release);
	}

	@Override
	public void channelRead(ChannelHandlerContext ignored, Object message) {
		this.reading = true;
		this.received = true;
		if (message instanceof ByteBuf bytes) {
			holdOrPass(bytes);
			return;
		}
		this.context.fireChannelRead(message);
	}

	private void holdOrPass(ByteBuf bytes) {
		if (!this.holding && this.held.isEmpty()) {
			pass(bytes);
			return;
		}
		// A copy, as the buffer may be much larger than what has arrived.
		this.held.add(Unpooled.copiedBuffer(bytes));
		this.heldBytes += bytes.readableBytes();
		bytes.release();
		if (this.heldBytes >= MAX_HELD_BYTES) {
			this.context.channel().config().setAutoRead(false);
		}
	}

	private void pass(ByteBuf bytes) {
		if (bytes.isReadable()) {
			this.decodingListener.run();
		}
		this.context.fireChannelRead(bytes);
	}

	private void release() {
		this.releaseScheduled = false;
		while (!this.holding && !this.held.isEmpty()) {
			ByteBuf bytes = this.held.poll();
			this.heldBytes -= bytes.readableBytes();
			pass(bytes);
		}
		this.context.fireChannelReadComplete();
		if (!this.holding || this.heldBytes < MAX_HELD_BYTES) {
			this.context.channel().config().setAutoRead(true);
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ignored) {
		this.reading = false;
		this.context.fireChannelReadComplete();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ignored) {
		this.held.forEach(ByteBuf::release);
		this.held.clear();
		this.heldBytes = 0;
		this.context.fireChannelInactive();
	}

}
