package org.eelgrasspitch.proxy;

import java.util.List;

import org.eelgrasspitch.mesh.TargetLoad;

/**
 * A target's response without its body.
 *
 * @param status HTTP status code
 * @param headers alternating names and values, without hop-by-hop fields
 * @param bodyLength length of the body in bytes, or {@link CallHead#CHUNKED}
 * @param targetMillis time from the moment at which the call got a slot to the start of
 * the target's response, in milliseconds; includes opening a connection and asking for
 * permission to start
 * @param load the home's load
 */
record ReplyHead(int status, List<String> headers, long bodyLength, int targetMillis, TargetLoad load) {

	private static final int FIRST_SERVER_ERROR_STATUS = 500;

	/**
	 * Returns whether the target failed to serve the request.
	 * @return true for status 500 and above
	 */
	boolean isServerError() {
		return this.status >= FIRST_SERVER_ERROR_STATUS;
	}

}
