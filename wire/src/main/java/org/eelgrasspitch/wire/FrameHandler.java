package org.eelgrasspitch.wire;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import org.eelgrasspitch.misc.ErrorType;
import org.eelgrasspitch.misc.Position;
import org.eelgrasspitch.misc.Problem;

/**
 * Handles one connection: exchanges hellos, then passes frames to the listener. The side
 * that dialled sends its hello first; the accepting side answers with the same purpose.
 * Invalid input closes only the connection on which it arrived. A connection whose hello
 * does not arrive within {@link WireLimits#HELLO_TIMEOUT_MILLIS} is closed.
 */
final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {

	private final PeerTransport transport;

	/** Purpose to send in the hello; null on the accepting side. */
	private final Purpose purpose;

	private final PeerTransport.DialListener dialListener;

	/** The connection; null until the hello of the other side has arrived. */
	private PeerConnection connection;

	FrameHandler(PeerTransport transport, Purpose purpose, PeerTransport.DialListener dialListener) {
		this.transport = transport;
		this.purpose = purpose;
		this.dialListener = dialListener;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		if (this.purpose != null) {
			sendHello(context, this.purpose);
		}
		context.executor().schedule(() -> {
			if (this.connection == null) {
				context.close();
			}
		}, WireLimits.HELLO_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, ByteBuf buffer) throws IOException {
		byte[] content = new byte[buffer.readableBytes()];
		buffer.readBytes(content);
		Frame frame = this.transport.codec().decode(content);
		if (frame instanceof Frame.Hello hello) {
			acceptHello(context, hello);
			return;
		}
		if (this.connection == null) {
			throw new MalformedFrameException("first frame is not a hello");
		}
		this.transport.trafficListener().received(this.connection.purpose(), content.length);
		this.transport.listener().received(this.connection, frame);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.connection != null) {
			this.transport.listener().closed(this.connection);
		}
		else if (this.purpose != null) {
			this.dialListener.failed();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		Throwable root = (cause.getCause() instanceof MalformedFrameException) ? cause.getCause() : cause;
		String remote = String.valueOf(context.channel().remoteAddress());
		if (root instanceof MalformedFrameException malformed) {
			this.transport.listener().malformed(remote, malformed.problem());
		}
		else if (root instanceof TooLongFrameException) {
			this.transport.listener()
				.malformed(remote, Problem.of(ErrorType.FRAME_TOO_LARGE, Position.UNKNOWN, WireLimits.MAX_FRAME_BYTES));
		}
		else if (!(root instanceof IOException)) {
			this.transport.listener()
				.malformed(remote, Problem.of(ErrorType.FRAME_MALFORMED, Position.UNKNOWN, root.toString()));
		}
		context.close();
	}

	private void acceptHello(ChannelHandlerContext context, Frame.Hello hello) throws MalformedFrameException {
		if (this.connection != null) {
			throw new MalformedFrameException("more than one hello");
		}
		boolean outbound = this.purpose != null;
		if (!outbound) {
			sendHello(context, hello.purpose());
		}
		this.connection = new PeerConnection(context.channel(), hello, outbound, this.transport.codec(),
				this.transport.trafficListener());
		this.dialListener.opened(this.connection);
		this.transport.listener().opened(this.connection);
	}

	private void sendHello(ChannelHandlerContext context, Purpose helloPurpose) {
		byte[] hello = this.transport.codec().encode(new Frame.Hello(this.transport.self(), helloPurpose));
		context.writeAndFlush(Unpooled.wrappedBuffer(hello));
	}

}
