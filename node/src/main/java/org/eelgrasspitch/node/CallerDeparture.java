package org.eelgrasspitch.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Notices that the caller of one request closes its connection before it has the
 * response.
 * <p>
 * The connection is the one that the event loop is reading when the request is handed
 * over to its handler. The watch ends with the response, since a connection carries many
 * requests.
 * <p>
 * Thread-safe.
 */
final class CallerDeparture {

	/** Connection that the event loop of this thread is reading; unset otherwise. */
	private static final ThreadLocal<Channel> READING = new ThreadLocal<>();

	/** Connection of the caller; null if it is not known. */
	private final Channel connection;

	/** Called when the connection ends; null before {@link #onDeparture}. */
	private ChannelFutureListener listener;

	/** Whether the request has its response. */
	private boolean ended;

	private CallerDeparture(Channel connection) {
		this.connection = connection;
	}

	/**
	 * Begins to watch the caller of the request that is being handed over.
	 * @return the watch; one that notices nothing if no connection is being read
	 */
	static CallerDeparture ofCurrentRequest() {
		return new CallerDeparture(READING.get());
	}

	/**
	 * Sets what to do when the caller leaves, unless the request has its response
	 * already. Called at most once.
	 * @param action runs on the event loop of the connection, also if the caller has left
	 * already
	 */
	synchronized void onDeparture(Runnable action) {
		if (this.connection == null || this.ended) {
			return;
		}
		this.listener = (closed) -> action.run();
		this.connection.closeFuture().addListener(this.listener);
	}

	/**
	 * Ends the watch, because the request has its response.
	 */
	synchronized void end() {
		this.ended = true;
		if (this.listener != null) {
			this.connection.closeFuture().removeListener(this.listener);
		}
	}

	/**
	 * Marks the connection that an event loop is reading.
	 */
	static final class ConnectionMarker extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			READING.set(context.channel());
			try {
				context.fireChannelRead(message);
			}
			finally {
				READING.remove();
			}
		}

	}

}
