package org.eelgrasspitch.proxy;

import java.util.List;

import org.eelgrasspitch.mesh.TargetLoad;

/**
 * A target's answer without its body.
 *
 * @param status the status code
 * @param headers names and values in turn, without those that concern one connection
 * @param bodyLength length of the body, or {@link CallHead#CHUNKED}
 * @param targetMillis time from the start at the target to its answer
 * @param load the home's load
 */
record ReplyHead(int status, List<String> headers, long bodyLength, int targetMillis, TargetLoad load) {

	private static final int FIRST_SERVER_ERROR_STATUS = 500;

	/**
	 * Tells whether the target has failed to serve the request.
	 * @return true for a status from 500 on
	 */
	boolean isServerError() {
		return this.status >= FIRST_SERVER_ERROR_STATUS;
	}

}
