package org.eelgrasspitch.proxy;

/**
 * Passes the rest of a call, after its head, from the entry node to the home.
 */
interface CallHandle {

	/**
	 * Sends a part of the request body.
	 * @param content the bytes, possibly none
	 * @param last whether the body is complete
	 */
	void data(byte[] content, boolean last);

	/**
	 * Permits the start that the home has requested.
	 */
	void start();

	/**
	 * Grants credit for more of the response body.
	 * @param bytes number of bytes
	 */
	void credit(int bytes);

	/**
	 * Cancels the call. A call that was not yet sent to the target is dropped; one that
	 * was sent is aborted if it is idempotent and otherwise left to finish. Nothing is
	 * reported afterwards.
	 */
	void cancel();

	/**
	 * Cancels the call because another target has responded. A call that was not yet sent
	 * to the target is dropped; one that was sent is left to finish, so that its slot is
	 * not reused before the target has ended it. Nothing is reported afterwards.
	 */
	void supersede();

}
