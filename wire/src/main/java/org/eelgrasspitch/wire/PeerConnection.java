package org.eelgrasspitch.wire;

import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import org.eelgrasspitch.fleet.Peer;

/**
 * An open connection to another node.
 * <p>
 * Thread-safe.
 */
public final class PeerConnection {

	private static final AtomicLong NEXT_ID = new AtomicLong(1);

	private final long id = NEXT_ID.getAndIncrement();

	private final Channel channel;

	private final Peer peer;

	private final Purpose purpose;

	private final boolean outbound;

	private final FrameCodec codec;

	private final TrafficListener trafficListener;

	PeerConnection(Channel channel, Frame.Hello hello, boolean outbound, FrameCodec codec,
			TrafficListener trafficListener) {
		this.channel = channel;
		this.peer = hello.peer();
		this.purpose = hello.purpose();
		this.outbound = outbound;
		this.codec = codec;
		this.trafficListener = trafficListener;
	}

	/**
	 * Returns the identifier of the connection.
	 * @return a number from 1, unique in this process
	 */
	public long id() {
		return this.id;
	}

	/**
	 * Returns the node at the other end.
	 * @return the node as described by its hello
	 */
	public Peer peer() {
		return this.peer;
	}

	/**
	 * Returns the purpose of the connection.
	 * @return the purpose in the hello of the other side, which repeats that of the side
	 * that dialled
	 */
	public Purpose purpose() {
		return this.purpose;
	}

	/**
	 * Tells which side dialled.
	 * @return true if this node did
	 */
	public boolean isOutbound() {
		return this.outbound;
	}

	/**
	 * Sends a frame without blocking. The frame is dropped if the connection is closed.
	 * If the other side reads so slowly that {@link WireLimits#MAX_PENDING_BYTES} are
	 * exceeded, the connection is closed. The length of the frame is not checked: a frame
	 * that exceeds {@link WireLimits#MAX_FRAME_BYTES} makes the receiver close the
	 * connection.
	 * @param frame the frame
	 */
	public void send(Frame frame) {
		send(frame, () -> {
		});
	}

	/**
	 * Sends a frame as {@link #send(Frame)} does.
	 * @param frame the frame
	 * @param written run once the frame has been written to the connection, or cannot be
	 */
	public void send(Frame frame, Runnable written) {
		byte[] content = this.codec.encode(frame);
		this.trafficListener.sent(this.purpose, content.length);
		this.channel.writeAndFlush(Unpooled.wrappedBuffer(content)).addListener((future) -> written.run());
		if (!this.channel.isWritable()) {
			this.channel.close();
		}
	}

	/**
	 * Closes the connection. Frames that have not been sent are dropped.
	 */
	public void close() {
		this.channel.close();
	}

}
