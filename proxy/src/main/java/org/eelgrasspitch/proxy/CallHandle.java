package org.eelgrasspitch.proxy;

/**
 * Takes what an entry sends for a call after its head.
 */
interface CallHandle {

	/**
	 * Sends a piece of the request's body.
	 * @param content the bytes, possibly none
	 * @param last whether the body is complete
	 */
	void data(byte[] content, boolean last);

	/**
	 * Permits the start that the home has asked for.
	 */
	void start();

	/**
	 * Permits more of the answer's body.
	 * @param bytes number of bytes
	 */
	void credit(int bytes);

	/**
	 * Gives the call up. Work that waits is dropped; work that runs is ended when it may
	 * be repeated, and otherwise left to finish. Nothing is reported afterwards.
	 */
	void cancel();

	/**
	 * Gives the call up because another target has answered. Work that waits is dropped;
	 * work that runs is left to finish, so that its slot is not given away before the
	 * target has ended it. Nothing is reported afterwards.
	 */
	void supersede();

}
