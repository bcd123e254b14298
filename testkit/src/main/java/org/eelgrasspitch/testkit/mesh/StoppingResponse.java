package org.eelgrasspitch.testkit.mesh;

/**
 * A response of a server in trouble that stops before its end, on a connection that stays
 * open.
 */
final class StoppingResponse {

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	/** More than a node buffers before it passes a response on. */
	private static final int LONG_PART_BYTES = 100_000;

	private StoppingResponse() {
	}

	/**
	 * Returns what the server writes before it stops.
	 * @param kind where it stops, as the last segment of a request's path without the
	 * prefix {@code stops-}
	 * @param ownHeaders header fields of a valid response to the request
	 * @return the bytes, in US-ASCII
	 * @throws IllegalArgumentException if the kind is unknown
	 */
	static String of(String kind, String ownHeaders) {
		String head = OK + ownHeaders;
		return switch (kind) {
			case "start" -> head;
			case "head" -> head + "Content-Length: 100\r\n\r\n";
			case "body" -> head + "Content-Length: 100\r\n\r\nfrom";
			case "unframed" -> head + "\r\nfrom";
			case "chunk" -> head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfrom\r\n";
			case "long" -> head + "Content-Length: " + 3 * LONG_PART_BYTES + "\r\n\r\n" + "x".repeat(LONG_PART_BYTES);
			case "long-chunk" -> head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(LONG_PART_BYTES)
					+ "\r\n" + "x".repeat(LONG_PART_BYTES) + "\r\n";
			default -> throw new IllegalArgumentException("unknown kind of stopping response: " + kind);
		};
	}

}
