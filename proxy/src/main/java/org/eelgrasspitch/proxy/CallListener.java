package org.eelgrasspitch.proxy;

/**
 * Receives what comes back for a call. {@link #failed} or a last piece of data ends the
 * call; nothing follows.
 */
interface CallListener {

	/**
	 * Bytes of a body that one side may send before the other grants more.
	 */
	int WINDOW_BYTES = 65_536;

	/**
	 * The home could start the call now and asks for permission. Only calls that must not
	 * run twice ask, so that their entry knows until then that they have not run.
	 */
	void startRequested();

	/**
	 * The target has begun to answer.
	 * @param head the answer without its body
	 */
	void replied(ReplyHead head);

	/**
	 * A piece of the answer's body.
	 * @param content the bytes, possibly none
	 * @param last whether the body is complete
	 */
	void data(byte[] content, boolean last);

	/**
	 * More of the request's body may be sent.
	 * @param bytes number of bytes
	 */
	void credit(int bytes);

	/**
	 * The call has ended without a complete answer.
	 * @param failure how
	 */
	void failed(CallFailure failure);

}
