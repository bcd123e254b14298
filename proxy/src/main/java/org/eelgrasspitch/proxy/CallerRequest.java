package org.eelgrasspitch.proxy;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.eelgrasspitch.misc.Digest;

/**
 * A caller's request without its body.
 *
 * @param id identifier that the caller gave this request; it gives a retry another one;
 * empty if it is missing
 * @param method the method
 * @param uri path and query as received
 * @param host value of the Host field, which selects the route, with or without a port;
 * empty if it is missing
 * @param headers header fields to forward, names and values alternating
 * @param bodyLength length of the body in bytes, {@link CallHead#CHUNKED} or
 * {@link CallHead#NO_BODY}
 * @param allowedMillis time that the caller waits, in milliseconds, 1 to
 * {@link #MAX_ALLOWED_MILLIS}; empty if it is missing or malformed
 * @param keepAlive whether the caller wants to keep the connection open
 * @param errorStatus status with which the request must be refused; empty if it is valid
 */
record CallerRequest(String id, String method, String uri, String host, List<String> headers, long bodyLength,
		Optional<Long> allowedMillis, boolean keepAlive, Optional<HttpResponseStatus> errorStatus) {

	/** Maximum time that a caller can request; longer times are reduced to it. */
	private static final long MAX_ALLOWED_MILLIS = 3_600_000;

	/**
	 * Creates a request from a received head.
	 * @param request head of the received request
	 * @param names names of header fields
	 * @param callerService name of the service on this VM, forwarded to the target as the
	 * origin of the request
	 * @return the request
	 */
	static CallerRequest of(HttpRequest request, HeaderNames names, String callerService) {
		HttpHeaders headers = request.headers();
		String id = headers.get(names.requestId(), "");
		String host = headers.get(HttpHeaderNames.HOST, "");
		Set<String> dropped = Set.of(lowerCase(names.callerService()), lowerCase(names.expectedTarget()),
				lowerCase(names.remainingMillis()));
		List<String> forwarded = Headers.forwarded(headers, dropped);
		forwarded.add(names.callerService());
		forwarded.add(callerService);
		boolean wellFormed = !id.isEmpty() && !host.isEmpty() && hasSingleFraming(request);
		return new CallerRequest(id, request.method().name(), request.uri(), host, forwarded,
				Headers.bodyLength(request, CallHead.NO_BODY), parseAllowedMillis(headers.get(names.remainingMillis())),
				HttpUtil.isKeepAlive(request),
				wellFormed ? Optional.empty() : Optional.of(HttpResponseStatus.BAD_REQUEST));
	}

	/**
	 * Returns the value by which the request is recognised when it arrives again; see
	 * {@link Fingerprints}. The home of the request computes the same value.
	 * @param callerService name of the service on the VM where the request began
	 * @param body its body, which must not be streamed
	 * @return the fingerprint
	 */
	Digest fingerprint(String callerService, RequestBody body) {
		return Fingerprints.of(this.method, this.host, this.uri, callerService, body.keptContent());
	}

	boolean hasBody() {
		return CallHead.hasBody(this.bodyLength);
	}

	/**
	 * Checks that the length of a request is unambiguous: Transfer-Encoding is allowed
	 * only in HTTP/1.1, only with the chunked coding and without Content-Length.
	 * Otherwise request smuggling would be possible.
	 * @param request the request
	 * @return true if it is
	 */
	private static boolean hasSingleFraming(HttpRequest request) {
		HttpHeaders headers = request.headers();
		if (!headers.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
			return true;
		}
		return HttpUtil.isTransferEncodingChunked(request) && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
				&& request.protocolVersion().equals(HttpVersion.HTTP_1_1);
	}

	private static String lowerCase(String name) {
		return name.toLowerCase(Locale.ROOT);
	}

	private static Optional<Long> parseAllowedMillis(String text) {
		if (text == null) {
			return Optional.empty();
		}
		try {
			long millis = Long.parseLong(text.trim());
			return Optional.of(Math.clamp(millis, 1, MAX_ALLOWED_MILLIS));
		}
		catch (NumberFormatException ex) {
			// A malformed time is ignored, so that the timeout of the route applies.
			return Optional.empty();
		}
	}

}
