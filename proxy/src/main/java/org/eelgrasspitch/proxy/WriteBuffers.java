package org.eelgrasspitch.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * Reads what waits in the write buffers of connections.
 */
final class WriteBuffers {

	private WriteBuffers() {
	}

	/**
	 * Returns how many bytes wait to be handed to the socket of a connection. Called on
	 * the event loop of the connection.
	 * @param channel the connection
	 * @return the number of bytes; 0 if the connection is closed
	 */
	static long waitingBytes(Channel channel) {
		ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
		return (buffer != null) ? buffer.totalPendingWriteBytes() : 0;
	}

}
