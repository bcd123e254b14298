package org.eelgrasspitch.wire;

/**
 * Counts the bytes of frames, without TCP and IP headers but with the length prefix.
 */
public interface TrafficListener {

	/** Bytes of the length prefix of a frame. */
	int LENGTH_PREFIX_BYTES = 4;

	/**
	 * A frame is being sent.
	 * @param purpose purpose of its connection
	 * @param bytes length of the frame without prefix
	 */
	void sent(Purpose purpose, int bytes);

	/**
	 * A frame arrived.
	 * @param purpose purpose of its connection
	 * @param bytes length of the frame without prefix
	 */
	void received(Purpose purpose, int bytes);

}
