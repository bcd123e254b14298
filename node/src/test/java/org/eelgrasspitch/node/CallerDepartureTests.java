package org.eelgrasspitch.node;

import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * The watch on the caller of one request, on a connection that carries many.
 */
public class CallerDepartureTests {

	private final AtomicInteger departures = new AtomicInteger();

	// A request that was answered at once was watched until its connection ended.
	@Test
	public void requestThatIsAnsweredBeforeTheWatchIsSetIsNotWatched() {
		Assert.assertEquals(departuresSeen(true), 0);
	}

	@Test
	public void unansweredRequestIsWatched() {
		Assert.assertEquals(departuresSeen(false), 1);
	}

	private int departuresSeen(boolean answered) {
		this.departures.set(0);
		EmbeddedChannel connection = new EmbeddedChannel(new CallerDeparture.ConnectionMarker(),
				new ChannelInboundHandlerAdapter() {

					@Override
					public void channelRead(ChannelHandlerContext context, Object message) {
						CallerDeparture departure = CallerDeparture.ofCurrentRequest();
						if (answered) {
							departure.end();
						}
						departure.onDeparture(CallerDepartureTests.this.departures::incrementAndGet);
					}

				});
		connection.writeInbound("request");
		connection.close().syncUninterruptibly();
		return this.departures.get();
	}

}
