package org.eelgrasspitch.request;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;

import org.eelgrasspitch.misc.Addresses;

/**
 * Idempotency token of one at-most-once request, bound to the process that issued it,
 * which is the only one that may run the request. A caller obtains it before it sends the
 * request and includes it unchanged in every resend.
 * <p>
 * The ticket identifies its home, the issuing node, completely. No VM list is needed to
 * find the home, so differing VM lists cannot make two nodes act as the home of one
 * ticket.
 *
 * @param home name of the VM whose node issued the ticket
 * @param address address at which that node accepts connections of other nodes
 * @param incarnation incarnation of the process that issued the ticket
 * @param expiresAtMillis time from which it can no longer start a request, in
 * milliseconds since the issuing process started, on that process's monotonic clock
 * @param nonce random number that distinguishes it from other tickets of the process
 */
public record Ticket(String home, InetSocketAddress address, long incarnation, long expiresAtMillis, long nonce) {

	/**
	 * Maximum length of an encoded form that {@link #parse} accepts, in characters.
	 */
	public static final int MAX_ENCODED_CHARS = 256;

	private static final String SEPARATOR = "|";

	private static final int FIELD_COUNT = 5;

	/**
	 * Decodes a ticket.
	 * @param encoded the encoded form as returned by {@link #encoded()}
	 * @return the ticket, or empty if the form is malformed or too long
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
	 * Encodes the ticket as unpadded URL-safe Base64.
	 * @return the encoded form, which is safe in URLs and headers
	 */
	public String encoded() {
		String text = String.join(SEPARATOR, this.home, Addresses.format(this.address), Long.toString(this.incarnation),
				Long.toString(this.expiresAtMillis), Long.toString(this.nonce));
		return Base64.getUrlEncoder().withoutPadding().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

}
