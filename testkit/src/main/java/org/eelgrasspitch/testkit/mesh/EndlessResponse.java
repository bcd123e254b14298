package org.eelgrasspitch.testkit.mesh;

/**
 * A response of a server in trouble that never ends.
 *
 * @param start what comes first, in US-ASCII
 * @param repeated what follows without end, in US-ASCII; not empty
 */
record EndlessResponse(String start, String repeated) {

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	/**
	 * Returns the response for a kind of trouble.
	 * @param kind the kind, as the last segment of a request's path without the prefix
	 * {@code endless-}
	 * @param idHeader header field that echoes the identifier of the request
	 * @param ownHeaders header fields of a valid response to the request
	 * @param otherHeaders header fields of a valid response to another request
	 * @return the response
	 * @throws IllegalArgumentException if the kind is unknown
	 */
	static EndlessResponse of(String kind, String idHeader, String ownHeaders, String otherHeaders) {
		String chunked = OK + ownHeaders + "Transfer-Encoding: chunked\r\n\r\n";
		return switch (kind) {
			case "noise" -> new EndlessResponse("", "no answer ");
			case "blank" -> new EndlessResponse("", "\r\n\r\n");
			case "head" -> new EndlessResponse(OK + ownHeaders + "X-Filler: ", "y");
			case "interim" -> new EndlessResponse("", "HTTP/1.1 100 Continue\r\n\r\n");
			case "foreign" -> new EndlessResponse(OK + otherHeaders + "\r\n", "not yours ");
			case "refusal" ->
				new EndlessResponse("HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n" + idHeader + "\r\n", "busy ");
			case "error" -> new EndlessResponse("HTTP/1.1 500 Failed\r\n" + ownHeaders + "\r\n", "failed ");
			case "body" -> new EndlessResponse(OK + ownHeaders + "\r\n", "more ");
			case "chunks" -> new EndlessResponse(chunked, "4\r\nmore\r\n");
			case "chunk-size" -> new EndlessResponse(chunked, "0");
			default -> throw new IllegalArgumentException("unknown kind of endless response: " + kind);
		};
	}

}
