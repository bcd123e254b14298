package org.eelgrasspitch.node;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;

/**
 * Lets {@link CallerDeparture} know the connections that this process accepts. The HTTP
 * library does not tell its applications when a caller closes a connection. Loaded by
 * Netty as a service, if the system property {@link #EXTENSIONS_SYSTEM_PROPERTY} is set.
 */
public final class CallerDepartureExtension extends ChannelInitializerExtension {

	/** Value of the system property with which extensions are loaded. */
	static final String ENABLED = "serviceload";

	@Override
	public void postInitializeServerChildChannel(Channel channel) {
		channel.pipeline().addFirst(new CallerDeparture.ConnectionMarker());
	}

}
