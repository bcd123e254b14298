package org.eelgrasspitch.misc;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats IPv4 socket addresses of the form {@code IP:port}. Host names are
 * rejected, so that parsing never causes a DNS lookup.
 */
public final class Addresses {

	private static final Pattern IPV4_WITH_PORT = Pattern
		.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

	private static final int MAX_OCTET = 255;

	private static final int MAX_PORT = 65_535;

	private Addresses() {
	}

	/**
	 * Parses a socket address.
	 * @param text four decimal octets and a port from 0 to 65535, for example
	 * {@code 10.0.0.7:7400}
	 * @return the resolved address, or empty if the text does not have this form
	 */
	public static Optional<InetSocketAddress> parse(String text) {
		Matcher matcher = IPV4_WITH_PORT.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		byte[] octets = new byte[4];
		for (int index = 0; index < octets.length; index++) {
			int octet = Integer.parseInt(matcher.group(index + 1));
			if (octet > MAX_OCTET) {
				return Optional.empty();
			}
			octets[index] = (byte) octet;
		}
		int port = Integer.parseInt(matcher.group(5));
		return (port <= MAX_PORT) ? Optional.of(socketAddress(octets, port)) : Optional.empty();
	}

	/**
	 * Formats a socket address.
	 * @param address a resolved address
	 * @return the IP address and the port, for example {@code 10.0.0.7:7400}
	 */
	public static String format(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	private static InetSocketAddress socketAddress(byte[] octets, int port) {
		try {
			return new InetSocketAddress(InetAddress.getByAddress(octets), port);
		}
		catch (UnknownHostException ex) {
			throw new IllegalStateException("four octets were rejected as an IPv4 address", ex);
		}
	}

}
