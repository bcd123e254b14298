package org.eelgrasspitch.proxy;

import java.util.random.RandomGenerator;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Answers that the entry gives in place of a target. They have no body and no signature.
 */
final class LocalReply {

	/** When a caller may come back if no home has said, in milliseconds. */
	private static final int DEFAULT_RETRY_AFTER_MILLIS = 300;

	/**
	 * Part of the return time by which it is spread, so that callers do not return
	 * together.
	 */
	private static final double RETRY_AFTER_JITTER = 0.5;

	private static final double MILLIS_PER_SECOND = 1_000.0;

	private LocalReply() {
	}

	/**
	 * Creates an answer.
	 * @param status its status
	 * @param names names of header fields
	 * @param requestId the caller's identifier of the request; empty when it has none
	 * @return the answer's head
	 */
	static HttpResponse of(HttpResponseStatus status, HeaderNames names, String requestId) {
		DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
		if (!requestId.isEmpty()) {
			response.headers().set(names.requestId(), requestId);
		}
		return response;
	}

	/**
	 * Creates the refusal of a request that has not run.
	 * @param retryAfterMillis when its caller may come back
	 * @param names names of header fields
	 * @param requestId the caller's identifier of the request; empty when it has none
	 * @return the refusal's head
	 */
	static HttpResponse unavailable(long retryAfterMillis, HeaderNames names, String requestId) {
		HttpResponse response = of(HttpResponseStatus.SERVICE_UNAVAILABLE, names, requestId);
		response.headers().set(HttpHeaderNames.RETRY_AFTER, String.valueOf(retryAfterMillis / MILLIS_PER_SECOND));
		return response;
	}

	/**
	 * Spreads the time of return.
	 * @param requestedMillis earliest return that a home has named; 0 when none has
	 * @param random source of randomness
	 * @return the time that the caller is told, in milliseconds
	 */
	static long retryAfterMillis(int requestedMillis, RandomGenerator random) {
		int base = (requestedMillis > 0) ? requestedMillis : DEFAULT_RETRY_AFTER_MILLIS;
		double spread = 1 + RETRY_AFTER_JITTER * (random.nextDouble() - RETRY_AFTER_JITTER);
		return Math.max(1, Math.round(base * spread));
	}

}
