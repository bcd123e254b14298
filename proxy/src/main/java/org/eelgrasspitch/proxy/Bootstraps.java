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
 * Options that all connections share. Probes of TCP find peers that vanished without a
 * word within about three seconds, while a connection is idle.
 */
public final class Bootstraps {

	/** Longest time to establish a connection, in milliseconds. */
	public static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	/** Connections that may wait to be accepted. */
	private static final int ACCEPT_BACKLOG = 1_024;

	private static final int KEEPALIVE_PROBE_SECONDS = 1;

	private static final int KEEPALIVE_PROBES = 2;

	private Bootstraps() {
	}

	/**
	 * Prepares outgoing connections.
	 * @param group event loops that carry them
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
	 * Prepares incoming connections.
	 * @param group event loops that carry them
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
