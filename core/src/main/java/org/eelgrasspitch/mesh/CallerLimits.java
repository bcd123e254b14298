package org.eelgrasspitch.mesh;

/**
 * Limits on what callers send.
 *
 * @param maxHeaderBytes longest request line with header fields, in bytes
 * @param maxBodyBytes longest body, in bytes
 * @param headerTimeoutMillis longest time from the first byte of a request to the end of
 * its header fields
 * @param idleTimeoutMillis how long a connection may stay open between requests
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/** Limits that hold until a configuration is known: those of a common HTTP server. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 64L * 1024 * 1024, 5_000, 60_000);

}
