package org.eelgrasspitch.proxy;

import java.util.random.RandomGenerator;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Responses that the entry node creates itself instead of a target. They have no body and
 * no signature.
 */
final class LocalResponse {

	/** Retry delay told to callers if no home has specified one. */
	private static final int DEFAULT_RETRY_AFTER_MILLIS = 300;

	/**
	 * Width of the random spread as a share of the retry delay. The delay is multiplied
	 * by 0.75 to 1.25 so that refused callers do not retry at the same time.
	 */
	private static final double RETRY_AFTER_JITTER = 0.5;

	private static final double MILLIS_PER_SECOND = 1_000.0;

	private LocalResponse() {
	}

	/**
	 * Creates a response.
	 * @param status status of the response
	 * @param names names of header fields
	 * @param requestId the caller's identifier of the request; empty if it has none
	 * @return head of the response
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
	 * Creates a response with status 503 for a request that has not run. The Retry-After
	 * field is in seconds and may have decimals.
	 * @param retryAfterMillis retry delay for the caller in milliseconds
	 * @param names names of header fields
	 * @param requestId the caller's identifier of the request; empty if it has none
	 * @return head of the response
	 */
	static HttpResponse unavailable(long retryAfterMillis, HeaderNames names, String requestId) {
		HttpResponse response = of(HttpResponseStatus.SERVICE_UNAVAILABLE, names, requestId);
		response.headers().set(HttpHeaderNames.RETRY_AFTER, String.valueOf(retryAfterMillis / MILLIS_PER_SECOND));
		return response;
	}

	/**
	 * Returns the retry delay to tell a caller: the one requested by a home, or
	 * {@link #DEFAULT_RETRY_AFTER_MILLIS}, with random jitter.
	 * @param requestedMillis shortest retry delay specified by a home, in milliseconds; 0
	 * if there is none
	 * @param random source of randomness
	 * @return retry delay for the caller in milliseconds; at least 1
	 */
	static long retryAfterMillis(int requestedMillis, RandomGenerator random) {
		int base = (requestedMillis > 0) ? requestedMillis : DEFAULT_RETRY_AFTER_MILLIS;
		double spread = 1 + RETRY_AFTER_JITTER * (random.nextDouble() - RETRY_AFTER_JITTER);
		return Math.max(1, Math.round(base * spread));
	}

}
