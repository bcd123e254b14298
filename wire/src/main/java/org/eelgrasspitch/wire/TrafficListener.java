package org.eelgrasspitch.wire;

/**
 * Receives the length of each frame that is sent or received, for byte counters. The
 * lengths include neither TCP and IP headers nor the length prefix. Hellos are not
 * reported. Methods may be called on any thread and must not block.
 */
public interface TrafficListener {

	/** Length of the prefix of each frame; to be added to the reported lengths. */
	int LENGTH_PREFIX_BYTES = 4;

	/**
	 * Called before a frame is sent, also if the frame is then dropped because the
	 * connection is closed.
	 * @param purpose purpose of the connection
	 * @param bytes length of the frame without its prefix, in bytes
	 */
	void sent(Purpose purpose, int bytes);

	/**
	 * Called after a frame has been received and decoded.
	 * @param purpose purpose of the connection
	 * @param bytes length of the frame without its prefix, in bytes
	 */
	void received(Purpose purpose, int bytes);

}
