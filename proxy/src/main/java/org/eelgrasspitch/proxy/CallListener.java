package org.eelgrasspitch.proxy;

/**
 * Receives the response to a call. {@link #failed} or the last part of the body ends the
 * call; nothing follows.
 */
interface CallListener {

	/**
	 * Flow control window: bytes of a body that one side may send before the other grants
	 * more credit.
	 */
	int WINDOW_BYTES = 65_536;

	/**
	 * The home can start the call now and asks for permission. It asks only for calls
	 * that are not idempotent, so that their entry node knows until then that they have
	 * not run.
	 */
	void startRequested();

	/**
	 * Reads what has arrived where the call came from, and returns whether the response
	 * is still awaited there. Used by a node that is behind, before it starts the call.
	 * The call may be cancelled meanwhile. Must not be called while that connection is
	 * being read.
	 * @return false if nobody waits for the response any more
	 */
	default boolean isAwaited() {
		return true;
	}

	/**
	 * The target has started to respond.
	 * @param head the response without its body
	 */
	void replied(ReplyHead head);

	/**
	 * A part of the response body has arrived.
	 * @param content the bytes, possibly none
	 * @param last whether the body is complete
	 */
	void data(byte[] content, boolean last);

	/**
	 * More of the request body may be sent.
	 * @param bytes number of bytes
	 */
	void credit(int bytes);

	/**
	 * The call has ended without a complete response.
	 * @param failure how it ended
	 */
	void failed(CallFailure failure);

}
