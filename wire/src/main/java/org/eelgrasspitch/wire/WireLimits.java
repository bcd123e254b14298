package org.eelgrasspitch.wire;

/**
 * Limits on input from other nodes and on connections to them. This module checks the
 * limits on frames, parts, bodies, lists and nesting only in input that it receives; the
 * encoder does not check them.
 */
public final class WireLimits {

	/** Maximum length of a frame including its length prefix. */
	public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

	/** Maximum length of the uncompressed content of a part. */
	public static final int MAX_PART_BYTES = 1_000_000;

	/** Maximum length of the body of a request or response. */
	public static final int MAX_BODY_BYTES = 1024 * 1024;

	/** Maximum number of elements of a list. */
	public static final int MAX_ELEMENTS = 4_096;

	/** Maximum nesting depth of structures. */
	public static final int MAX_DEPTH = 16;

	/** Maximum number of unsent bytes of a connection; when exceeded, it is closed. */
	public static final int MAX_PENDING_BYTES = 16 * 1024 * 1024;

	/** Timeout of establishing a TCP connection. */
	public static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	/**
	 * Maximum time from the establishment of the TCP connection to the arrival of the
	 * other side's hello.
	 */
	public static final int HELLO_TIMEOUT_MILLIS = 2_000;

	private WireLimits() {
	}

}
