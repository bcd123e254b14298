package org.eelgrasspitch.testkit;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;

/**
 * TCP proxy between nodes that can delay their traffic and partition them. It listens on
 * every node's advertised address and forwards to the node's own one. The source address
 * identifies the sender, because nodes connect from their own addresses.
 * <p>
 * A cut from one VM to another silently drops the bytes of that direction, as a network
 * partition does. When it heals, connections that lost bytes are closed, because a stream
 * with missing bytes cannot continue.
 */
public final class LinkSwitch implements AutoCloseable {

	private static final long SHUTDOWN_MILLIS = 1_000;

	private final EventLoopGroup group = new NioEventLoopGroup(2);

	/** Names of VMs by their own IP address. */
	private final Map<String, String> vmsByIp = new HashMap<>();

	/** Directions that are cut; guarded by its own monitor. */
	private final Set<Direction> cuts = new HashSet<>();

	/** Connections that lost bytes and are closed when the cuts end. */
	private final Set<Channel> damaged = ConcurrentHashMap.newKeySet();

	private final List<Channel> servers = new ArrayList<>();

	private volatile long delayMillis;

	/**
	 * Listens on the advertised address of every member of a deployment.
	 * @param deployment a deployment whose advertised addresses differ from its peer
	 * addresses
	 */
	public LinkSwitch(Deployment deployment) {
		for (Deployment.Member member : deployment.members()) {
			this.vmsByIp.put(member.settings().peerAddress().getAddress().getHostAddress(), member.settings().vm());
		}
		for (Deployment.Member member : deployment.members()) {
			listen(member.settings().vm(), member.settings().advertisedAddress(), member.settings().peerAddress());
		}
	}

	/**
	 * Cuts one direction between two VMs until {@link #heal()}.
	 * @param from name of the sending VM
	 * @param to name of the receiving VM
	 */
	public void cut(String from, String to) {
		synchronized (this.cuts) {
			this.cuts.add(new Direction(from, to));
		}
	}

	/**
	 * Ends all cuts and closes connections that lost bytes.
	 */
	public void heal() {
		synchronized (this.cuts) {
			this.cuts.clear();
		}
		this.damaged.forEach(Channel::close);
		this.damaged.clear();
	}

	/**
	 * Sets the delay of everything that is forwarded from now on.
	 * @param millis delay in each direction, in milliseconds; 0 for none
	 */
	public void delayMillis(long millis) {
		this.delayMillis = millis;
	}

	@Override
	public void close() {
		this.servers.forEach(Channel::close);
		this.group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly(SHUTDOWN_MILLIS);
	}

	private boolean isCut(Direction direction) {
		synchronized (this.cuts) {
			return this.cuts.contains(direction);
		}
	}

	private void listen(String vm, InetSocketAddress advertised, InetSocketAddress destination) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.AUTO_READ, false)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					forward(channel, vm, destination);
				}
			});
		this.servers.add(bootstrap.bind(advertised).syncUninterruptibly().channel());
	}

	private void forward(Channel inbound, String vm, InetSocketAddress destination) {
		String source = ((InetSocketAddress) inbound.remoteAddress()).getAddress().getHostAddress();
		String from = this.vmsByIp.getOrDefault(source, source);
		new Bootstrap().group(inbound.eventLoop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.AUTO_READ, false)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(new Forwarder(inbound, new Direction(vm, from)));
				}
			})
			.connect(destination)
			.addListener((ChannelFutureListener) (future) -> {
				if (!future.isSuccess()) {
					inbound.close();
					return;
				}
				inbound.pipeline().addLast(new Forwarder(future.channel(), new Direction(from, vm)));
				inbound.config().setAutoRead(true);
				future.channel().config().setAutoRead(true);
			});
	}

	/**
	 * One direction between two VMs.
	 *
	 * @param from the sending VM
	 * @param to the receiving VM
	 */
	private record Direction(String from, String to) {

	}

	/**
	 * Forwards bytes from one connection to another.
	 */
	private final class Forwarder extends ChannelInboundHandlerAdapter {

		private final Channel other;

		private final Direction direction;

		Forwarder(Channel other, Direction direction) {
			this.other = other;
			this.direction = direction;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			if (isCut(this.direction) || LinkSwitch.this.damaged.contains(context.channel())) {
				ReferenceCountUtil.release(message);
				LinkSwitch.this.damaged.add(context.channel());
				return;
			}
			long delay = LinkSwitch.this.delayMillis;
			if (delay == 0) {
				this.other.writeAndFlush(message);
				return;
			}
			context.executor().schedule(() -> this.other.writeAndFlush(message), delay, TimeUnit.MILLISECONDS);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (!isCut(this.direction)) {
				this.other.close();
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
