package org.eelgrasspitch.proxy;

import java.util.List;

import io.netty.handler.codec.http.HttpMethod;

/**
 * A request on its way from an entry node to a home, without its body.
 *
 * @param requestId identifier that the caller gave this request
 * @param route name of the route
 * @param target identifier of the only target that may run it
 * @param method HTTP method
 * @param uri path and query as sent by the caller
 * @param headers alternating names and values, without hop-by-hop fields
 * @param deadlineAtMillis monotonic time in milliseconds at which the entry node gives
 * up: at the end of the route's timeout, or a margin before the caller stops waiting if
 * that is earlier
 * @param objectiveAtMillis monotonic time of its objective in milliseconds; a later
 * response is late
 * @param rank priority; the lowest rank goes first
 * @param idempotent whether it may run more than once
 * @param retry whether an earlier attempt reached, or may have reached, a target, or this
 * is a hedge
 * @param logged whether its home logs it whatever its outcome
 * @param targetLimitPerSecond limit on the requests to the target that the entry node
 * knows from an answer; {@link org.eelgrasspitch.mesh.TargetStatements#NO_LIMIT} for none
 * @param bodyLength length of the body in bytes, {@link #CHUNKED} or {@link #NO_BODY}
 */
record CallHead(String requestId, String route, String target, String method, String uri, List<String> headers,
		long deadlineAtMillis, long objectiveAtMillis, int rank, boolean idempotent, boolean retry, boolean logged,
		double targetLimitPerSecond, long bodyLength) {

	/** A body of unknown length follows. */
	static final long CHUNKED = -1;

	/** No body follows. */
	static final long NO_BODY = -2;

	/**
	 * Returns a header field.
	 * @param name its name, in any case
	 * @return the first value; empty if the field is missing
	 */
	String header(String name) {
		return Headers.find(this.headers, name).orElse("");
	}

	/**
	 * Returns whether the response consists of its head alone.
	 * @return true for the method HEAD
	 */
	boolean asksForHeadOnly() {
		return HttpMethod.HEAD.name().equals(this.method);
	}

	boolean hasBody() {
		return hasBody(this.bodyLength);
	}

	/**
	 * Returns whether a body follows a head.
	 * @param bodyLength length of the body in bytes, {@link #CHUNKED} or {@link #NO_BODY}
	 * @return true unless there is no body or its length is 0
	 */
	static boolean hasBody(long bodyLength) {
		return bodyLength == CHUNKED || bodyLength > 0;
	}

}
