package org.eelgrasspitch.proxy;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Creates the head of the request that a home sends to its target for a call.
 */
final class TargetRequest {

	private TargetRequest() {
	}

	/**
	 * Creates the head of a request.
	 * @param head the call
	 * @param names names of header fields
	 * @param now current monotonic time in milliseconds, from which the remaining time
	 * follows; at least 1 ms is left
	 * @return the head, with the framing of the body
	 */
	static HttpRequest of(CallHead head, HeaderNames names, long now) {
		HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(head.method()),
				head.uri());
		Headers.add(head.headers(), request.headers());
		request.headers().set(names.remainingMillis(), Math.max(1, head.deadlineAtMillis() - now));
		request.headers().set(names.expectedTarget(), head.target());
		if (head.bodyLength() == CallHead.CHUNKED) {
			request.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		if (head.bodyLength() >= 0) {
			request.headers().set(HttpHeaderNames.CONTENT_LENGTH, head.bodyLength());
		}
		return request;
	}

}
