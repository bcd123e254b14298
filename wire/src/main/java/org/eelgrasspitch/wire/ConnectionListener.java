package org.eelgrasspitch.wire;

import org.eelgrasspitch.misc.Problem;

/**
 * Receives events of connections between nodes. Methods are called on event loop threads
 * and must not block. All events of one connection are delivered in order by the same
 * thread.
 */
public interface ConnectionListener {

	/**
	 * Called after both sides have sent their hello.
	 * @param connection the connection, which now accepts frames
	 */
	void opened(PeerConnection connection);

	/**
	 * Called for each frame after the hello.
	 * @param connection the connection
	 * @param frame the frame, never a {@link Frame.Hello}
	 */
	void received(PeerConnection connection, Frame frame);

	/**
	 * Called after a connection that was reported as opened has been closed by either
	 * side.
	 * @param connection the connection
	 */
	void closed(PeerConnection connection);

	/**
	 * Called before a connection is closed because of invalid input, or because a method
	 * of this listener has thrown an exception. The connection may not have been opened.
	 * @param remote address of the other side as text, for logs; "null" if unknown
	 * @param problem the error
	 */
	void malformed(String remote, Problem problem);

}
