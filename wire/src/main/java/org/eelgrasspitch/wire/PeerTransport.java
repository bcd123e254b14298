package org.eelgrasspitch.wire;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import org.eelgrasspitch.fleet.Peer;

/**
 * Accepts connections from other nodes and dials them. Each frame is preceded by its
 * length as a 4-byte big-endian integer, which excludes the prefix. A frame that exceeds
 * {@link WireLimits#MAX_FRAME_BYTES} closes the connection before its content is read.
 */
public final class PeerTransport implements AutoCloseable {

	private static final int LENGTH_PREFIX_BYTES = TrafficListener.LENGTH_PREFIX_BYTES;

	/**
	 * The event loops shut down at once instead of first waiting for a period without new
	 * tasks.
	 */
	private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 0;

	private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

	private final Peer self;

	private final ConnectionListener listener;

	private final TrafficListener trafficListener;

	private final FrameCodec codec = new FrameCodec();

	private final EventLoopGroup group;

	/** The listening channel; null until {@link #listen} succeeds. */
	private Channel serverChannel;

	/**
	 * Creates a transport that does not listen yet.
	 * @param self this node, as described by its hello
	 * @param threads number of event loop threads
	 * @param listener receives events of all connections
	 * @param trafficListener receives the lengths of frames
	 */
	public PeerTransport(Peer self, int threads, ConnectionListener listener, TrafficListener trafficListener) {
		this.self = self;
		this.listener = listener;
		this.trafficListener = trafficListener;
		this.group = new NioEventLoopGroup(threads);
	}

	/**
	 * Binds a local address and accepts connections on it. Blocks until it is bound.
	 * @param address the local address
	 * @throws IllegalStateException if the address cannot be bound or the thread is
	 * interrupted
	 */
	public void listen(InetSocketAddress address) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferWaterMark())
			.childHandler(initializer(null, (connection) -> {
			}));
		try {
			this.serverChannel = bootstrap.bind(address).sync().channel();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while binding " + address, ex);
		}
		catch (Exception ex) {
			throw new IllegalStateException("cannot listen on " + address + ": " + ex.getMessage(), ex);
		}
	}

	/**
	 * Dials another node without blocking. Unless the transport is closed, exactly one of
	 * the callbacks is called, once, on an event loop thread, after the hello of the
	 * other node has arrived or on failure.
	 * @param address address of the other node
	 * @param source local address to dial from, whose port is ignored; null for any
	 * @param purpose the purpose of the connection
	 * @param onOpened called with the connection before
	 * {@link ConnectionListener#opened(PeerConnection)}
	 * @param onFailed called if the connection is not established or is closed before the
	 * hello arrives
	 */
	public void dial(InetSocketAddress address, InetSocketAddress source, Purpose purpose,
			Consumer<PeerConnection> onOpened, Runnable onFailed) {
		Bootstrap bootstrap = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, WireLimits.CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, writeBufferWaterMark())
			.handler(initializer(purpose, new DialCallbacks(onOpened, onFailed)));
		if (source != null) {
			bootstrap.localAddress(new InetSocketAddress(source.getAddress(), 0));
		}
		bootstrap.connect(address).addListener((future) -> {
			if (!future.isSuccess()) {
				onFailed.run();
			}
		});
	}

	/**
	 * Stops listening. Open connections are not affected. Has no effect before
	 * {@link #listen}.
	 */
	public void stopListening() {
		if (this.serverChannel != null) {
			this.serverChannel.close();
		}
	}

	/**
	 * Stops listening, closes all connections and stops the event loops. Blocks for at
	 * most 2 seconds.
	 */
	@Override
	public void close() {
		stopListening();
		this.group.shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
	}

	private ChannelInitializer<Channel> initializer(Purpose purpose, DialListener dialListener) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				ChannelPipeline pipeline = channel.pipeline();
				pipeline.addLast(new LengthFieldBasedFrameDecoder(WireLimits.MAX_FRAME_BYTES, 0, LENGTH_PREFIX_BYTES, 0,
						LENGTH_PREFIX_BYTES));
				pipeline.addLast(new LengthFieldPrepender(LENGTH_PREFIX_BYTES));
				pipeline.addLast(new FrameHandler(PeerTransport.this, purpose, dialListener));
			}
		};
	}

	private static WriteBufferWaterMark writeBufferWaterMark() {
		return new WriteBufferWaterMark(WireLimits.MAX_PENDING_BYTES / 2, WireLimits.MAX_PENDING_BYTES);
	}

	Peer self() {
		return this.self;
	}

	ConnectionListener listener() {
		return this.listener;
	}

	TrafficListener trafficListener() {
		return this.trafficListener;
	}

	FrameCodec codec() {
		return this.codec;
	}

	/**
	 * Receives the result of dialling.
	 */
	interface DialListener {

		/**
		 * Called after both sides have sent their hello.
		 * @param connection the connection
		 */
		void opened(PeerConnection connection);

		/**
		 * Called if the connection is closed before the hello of the other side arrives.
		 */
		default void failed() {
		}

	}

	/**
	 * Forwards the result of dialling to callbacks.
	 *
	 * @param onOpened called on success
	 * @param onFailed called on failure
	 */
	private record DialCallbacks(Consumer<PeerConnection> onOpened, Runnable onFailed) implements DialListener {

		@Override
		public void opened(PeerConnection connection) {
			this.onOpened.accept(connection);
		}

		@Override
		public void failed() {
			this.onFailed.run();
		}

	}

}
