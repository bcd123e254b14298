package org.eelgrasspitch.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;

/**
 * Creates bootstraps with common socket options. On outgoing connections, TCP keepalive
 * probes detect within about three seconds of idle time a peer that vanished without
 * closing the connection.
 */
public final class Bootstraps {

	/** Timeout of a connection attempt, in milliseconds. */
	public static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	/** Maximum number of connections waiting to be accepted. */
	private static final int ACCEPT_BACKLOG = 1_024;

	/** Idle time before the first keepalive probe and interval between probes. */
	private static final int KEEPALIVE_PROBE_SECONDS = 1;

	/** Number of unanswered probes after which a connection is closed. */
	private static final int KEEPALIVE_PROBES = 2;

	private Bootstraps() {
	}

	/**
	 * Creates a bootstrap for outgoing connections.
	 * @param group event loops of the connections
	 * @return a bootstrap without a handler
	 */
	public static Bootstrap client(EventLoopGroup group) {
		return new Bootstrap().group(group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_PROBE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_PROBE_SECONDS)
			.option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
	}

	/**
	 * Creates a bootstrap for incoming connections.
	 * @param group event loops of the connections
	 * @return a bootstrap without a handler
	 */
	static ServerBootstrap server(EventLoopGroup group) {
		return new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true);
	}

}
