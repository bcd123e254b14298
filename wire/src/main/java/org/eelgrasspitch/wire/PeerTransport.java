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
 * Listens for other nodes and dials them. Each frame is preceded by its length in four
 * bytes; a longer one than {@link WireLimits#MAX_FRAME_BYTES} closes its connection
 * before any of it is stored.
 */
public final class PeerTransport implements AutoCloseable {

	private static final int LENGTH_BYTES = Traffic.PREFIX_BYTES;

	private static final long QUIET_MILLIS = 0;

	private static final long SHUTDOWN_MILLIS = 2_000;

	private final Peer self;

	private final ConnectionListener listener;

	private final Traffic traffic;

	private final FrameCodec codec = new FrameCodec();

	private final EventLoopGroup group;

	/** The listening socket; null until {@link #listen}. */
	private Channel server;

	/**
	 * Creates a transport.
	 * @param self how this node introduces itself
	 * @param threads number of event loop threads
	 * @param listener receives connections and frames
	 * @param traffic counts bytes
	 */
	public PeerTransport(Peer self, int threads, ConnectionListener listener, Traffic traffic) {
		this.self = self;
		this.listener = listener;
		this.traffic = traffic;
		this.group = new NioEventLoopGroup(threads);
	}

	/**
	 * Starts to listen.
	 * @param address local address
	 * @throws IllegalStateException if the address cannot be bound
	 */
	public void listen(InetSocketAddress address) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
			.childHandler(initializer(null, (connection) -> {
			}));
		try {
			this.server = bootstrap.bind(address).sync().channel();
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
	 * Dials another node. Success is reported to the listener.
	 * @param address the other node's address
	 * @param source local address to dial from, or null for any
	 * @param purpose what the connection is for
	 * @param opened called with the connection before the listener is
	 * @param failed called when the connection cannot be opened
	 */
	public void dial(InetSocketAddress address, InetSocketAddress source, Purpose purpose,
			Consumer<PeerConnection> opened, Runnable failed) {
		Bootstrap bootstrap = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, WireLimits.CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
			.handler(initializer(purpose, new Dial(opened, failed)));
		if (source != null) {
			bootstrap.localAddress(new InetSocketAddress(source.getAddress(), 0));
		}
		bootstrap.connect(address).addListener((future) -> {
			if (!future.isSuccess()) {
				failed.run();
			}
		});
	}

	/**
	 * Stops listening; open connections stay.
	 */
	public void stopListening() {
		if (this.server != null) {
			this.server.close();
		}
	}

	@Override
	public void close() {
		stopListening();
		this.group.shutdownGracefully(QUIET_MILLIS, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
			.awaitUninterruptibly(SHUTDOWN_MILLIS);
	}

	private ChannelInitializer<Channel> initializer(Purpose purpose, DialListener dial) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				ChannelPipeline pipeline = channel.pipeline();
				pipeline.addLast(
						new LengthFieldBasedFrameDecoder(WireLimits.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
				pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
				pipeline.addLast(new FrameHandler(PeerTransport.this, purpose, dial));
			}
		};
	}

	private static WriteBufferWaterMark waterMark() {
		return new WriteBufferWaterMark(WireLimits.MAX_PENDING_BYTES / 2, WireLimits.MAX_PENDING_BYTES);
	}

	Peer self() {
		return this.self;
	}

	ConnectionListener listener() {
		return this.listener;
	}

	Traffic traffic() {
		return this.traffic;
	}

	FrameCodec codec() {
		return this.codec;
	}

	/**
	 * Learns how a dial ended.
	 */
	interface DialListener {

		/**
		 * The connection is open.
		 * @param connection the connection
		 */
		void opened(PeerConnection connection);

		/**
		 * The connection was lost before it was open.
		 */
		default void failed() {
		}

	}

	/**
	 * Reports the end of a dial once.
	 *
	 * @param open called on success
	 * @param fail called on failure
	 */
	private record Dial(Consumer<PeerConnection> open, Runnable fail) implements DialListener {

		@Override
		public void opened(PeerConnection connection) {
			this.open.accept(connection);
		}

		@Override
		public void failed() {
			this.fail.run();
		}

	}

}
