package org.eelgrasspitch.mesh;

/**
 * Limits on requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the request line and header fields, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMillis maximum time from the first byte of a request to the end of
 * its header fields, in milliseconds
 * @param idleTimeoutMillis maximum time for which a connection may be idle between
 * requests, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/**
	 * Limits before the first configuration arrives; the values are usual for HTTP
	 * servers.
	 */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 64L * 1024 * 1024, 5_000, 60_000);

}
