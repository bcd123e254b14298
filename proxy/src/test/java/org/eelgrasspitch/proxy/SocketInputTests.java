package org.eelgrasspitch.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Input that is held because its connection has too many requests in progress.
 */
public class SocketInputTests {

	// The connection was read no more, although there was room, so its end was not seen.
	@Test
	public void connectionIsReadWhileThereIsRoom() {
		SocketInput input = new SocketInput(() -> {
		});
		EmbeddedChannel connection = new EmbeddedChannel(input, new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext context, Object message) {
				ReferenceCountUtil.release(message);
				input.setHolding(true);
			}

		});
		input.setHolding(true);
		connection.writeInbound(bytes(), bytes());
		Assert.assertFalse(connection.config().isAutoRead(), "while too much is held");
		input.setHolding(false);
		connection.runPendingTasks();
		Assert.assertTrue(connection.config().isAutoRead(), "when half of it is decoded");
		connection.close();
	}

	private static Object bytes() {
		return Unpooled.wrappedBuffer(new byte[SocketInput.MAX_HELD_BYTES / 2]);
	}

}
