package org.eelgrasspitch.proxy;

import java.util.List;

/**
 * A request on its way from an entry to a home, without its body.
 *
 * @param requestId the caller's identifier of this attempt
 * @param route name of the route
 * @param target identifier of the target that alone may run it
 * @param method the method
 * @param uri path and query as the caller sent them
 * @param headers names and values in turn, without those that concern one connection
 * @param deadlineAtMillis when the caller stops waiting, in monotonic milliseconds
 * @param objectiveAtMillis when its answer becomes late, in monotonic milliseconds
 * @param rank importance; lower goes first
 * @param idempotent whether it may run more than once
 * @param retry whether another target has received it before
 * @param logged whether its home is to log it whatever becomes of it
 * @param bodyLength length of the body; {@link #CHUNKED} or {@link #NO_BODY}
 */
record CallHead(String requestId, String route, String target, String method, String uri, List<String> headers,
		long deadlineAtMillis, long objectiveAtMillis, int rank, boolean idempotent, boolean retry, boolean logged,
		long bodyLength) {

	/** A body follows whose length is not known beforehand. */
	static final long CHUNKED = -1;

	/** No body follows. */
	static final long NO_BODY = -2;

	boolean hasBody() {
		return hasBody(this.bodyLength);
	}

	/**
	 * Tells whether a body follows a head.
	 * @param bodyLength length of the body; {@link #CHUNKED} or {@link #NO_BODY}
	 * @return true when bytes of a body are to come
	 */
	static boolean hasBody(long bodyLength) {
		return bodyLength == CHUNKED || bodyLength > 0;
	}

}
