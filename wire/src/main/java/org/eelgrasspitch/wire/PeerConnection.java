package org.eelgrasspitch.wire;

import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import org.eelgrasspitch.fleet.Peer;

/**
 * An open connection to another node.
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
	 * Returns the connection's number.
	 * @return a number that is unique in this process
	 */
	public long id() {
		return this.id;
	}

	/**
	 * Returns the node at the other end.
	 * @return the node as it introduced itself
	 */
	public Peer peer() {
		return this.peer;
	}

	/**
	 * Returns what the connection is for.
	 * @return the purpose that the dialling side stated
	 */
	public Purpose purpose() {
		return this.purpose;
	}

	/**
	 * Tells which side dialled.
	 * @return true when this process did
	 */
	public boolean isOutbound() {
		return this.outbound;
	}

	/**
	 * Sends a frame. A connection whose other side stopped reading is closed once too
	 * many bytes wait.
	 * @param frame the frame
	 */
	public void send(Frame frame) {
		byte[] content = this.codec.encode(frame);
		this.trafficListener.sent(this.purpose, content.length);
		this.channel.writeAndFlush(Unpooled.wrappedBuffer(content));
		if (!this.channel.isWritable()) {
			this.channel.close();
		}
	}

	/**
	 * Closes the connection.
	 */
	public void close() {
		this.channel.close();
	}

}
