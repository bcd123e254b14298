package org.eelgrasspitch.wire;

/**
 * Limits on everything that arrives from another node.
 */
public final class WireLimits {

	/** Longest frame, in bytes. */
	public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

	/** Longest single part before compression, in bytes. */
	public static final int MAX_PART_BYTES = 1_000_000;

	/** Longest body of a request or answer, in bytes. */
	public static final int MAX_BODY_BYTES = 1024 * 1024;

	/** Most elements of any list. */
	public static final int MAX_ELEMENTS = 4_096;

	/** Deepest nesting of structures. */
	public static final int MAX_DEPTH = 16;

	/** Most bytes that wait to be sent on one connection before it counts as stuck. */
	public static final int MAX_PENDING_BYTES = 16 * 1024 * 1024;

	/** Longest time to establish a connection, in milliseconds. */
	public static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	/** Longest time until the other side introduces itself, in milliseconds. */
	public static final int HELLO_TIMEOUT_MILLIS = 2_000;

	private WireLimits() {
	}

}
