package org.eelgrasspitch.wire;

import org.eelgrasspitch.misc.Problem;

/**
 * Receives what happens on connections between nodes. Calls come from event loop threads
 * and must not block; those about one connection come in order from one thread.
 */
public interface ConnectionListener {

	/**
	 * Both sides have introduced themselves.
	 * @param connection the connection
	 */
	void opened(PeerConnection connection);

	/**
	 * A frame arrived.
	 * @param connection the connection
	 * @param frame the frame, never a {@link Frame.Hello}
	 */
	void received(PeerConnection connection, Frame frame);

	/**
	 * An opened connection is gone.
	 * @param connection the connection
	 */
	void closed(PeerConnection connection);

	/**
	 * A connection was closed because of what arrived on it.
	 * @param remote address of the other side
	 * @param problem what was wrong
	 */
	void malformed(String remote, Problem problem);

}
