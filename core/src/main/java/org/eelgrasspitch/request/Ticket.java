package org.eelgrasspitch.request;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;

import org.eelgrasspitch.misc.Addresses;

/**
 * Permission to run one at-most-once request, bound to the one process that may run it. A
 * caller obtains it before it sends the request and repeats it, unchanged, in every
 * resend.
 * <p>
 * The ticket names its home completely: no list of VMs is needed to find it, so no
 * difference between lists can make two nodes believe that they are the home.
 *
 * @param home name of the VM whose node issued the ticket
 * @param address where that node accepts other nodes
 * @param incarnation the process that issued it
 * @param expiresAtMillis time after which it starts no request, on the issuer's own
 * clock, in milliseconds since the issuer started
 * @param nonce distinguishes it from the issuer's other tickets
 */
public record Ticket(String home, InetSocketAddress address, long incarnation, long expiresAtMillis, long nonce) {

	/** Longest written form accepted, in characters. */
	public static final int MAX_ENCODED_CHARS = 256;

	private static final String SEPARATOR = "|";

	private static final int FIELD_COUNT = 5;

	/**
	 * Reads a written ticket.
	 * @param encoded the form that {@link #encoded()} returned
	 * @return the ticket, or empty when the form is wrong
	 */
	public static Optional<Ticket> parse(String encoded) {
		if (encoded.length() > MAX_ENCODED_CHARS) {
			return Optional.empty();
		}
		try {
			String text = new String(Base64.getUrlDecoder().decode(encoded), StandardCharsets.UTF_8);
			String[] fields = text.split("\\" + SEPARATOR, -1);
			if (fields.length != FIELD_COUNT) {
				return Optional.empty();
			}
			return Addresses.parse(fields[1])
				.map((address) -> new Ticket(fields[0], address, Long.parseLong(fields[2]), Long.parseLong(fields[3]),
						Long.parseLong(fields[4])));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Writes the ticket for a caller.
	 * @return a string that is safe in URLs and headers
	 */
	public String encoded() {
		String text = String.join(SEPARATOR, this.home, Addresses.format(this.address), Long.toString(this.incarnation),
				Long.toString(this.expiresAtMillis), Long.toString(this.nonce));
		return Base64.getUrlEncoder().withoutPadding().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

}
