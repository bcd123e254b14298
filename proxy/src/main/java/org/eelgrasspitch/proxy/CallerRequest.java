package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
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
 * @param id the caller's identifier of this attempt; empty when it is missing
 * @param method the method
 * @param uri path and query as received
 * @param host the host name that selects the route
 * @param headers fields that travel on, names and values in turn
 * @param bodyLength length of the body; {@link CallHead#CHUNKED} or
 * {@link CallHead#NO_BODY}
 * @param allowedMillis how long the caller waits; empty when it does not say
 * @param keepAlive whether the caller wants to go on using the connection
 * @param errorStatus why the request cannot be processed; empty when it can
 */
record CallerRequest(String id, String method, String uri, String host, List<String> headers, long bodyLength,
		Optional<Long> allowedMillis, boolean keepAlive, Optional<HttpResponseStatus> errorStatus) {

	/** Longest time that a caller can ask for, in milliseconds. */
	private static final long MAX_ALLOWED_MILLIS = 3_600_000;

	/**
	 * Reads a request.
	 * @param request what was received
	 * @param names names of header fields
	 * @param callerService what targets are told about the place where it began
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
	 * Recognises the same request when it comes again, at any node: by its path, its body
	 * and the service where it began.
	 * @param service the service that runs on the VM where it began
	 * @param body its body
	 * @return the fingerprint
	 */
	Digest fingerprint(String service, RequestBody body) {
		ByteArrayOutputStream content = new ByteArrayOutputStream();
		String head = this.method + ' ' + this.host + this.uri + ' ' + service + '\n';
		content.writeBytes(head.getBytes(StandardCharsets.UTF_8));
		content.writeBytes(body.keptContent());
		return Digest.of(content.toByteArray());
	}

	boolean hasBody() {
		return CallHead.hasBody(this.bodyLength);
	}

	/**
	 * Checks that a request has one framing only; two would let one request hide another.
	 * @param request the request
	 * @return true when its length is beyond doubt
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
			// The route's own timeout holds for a caller that does not say it properly.
			return Optional.empty();
		}
	}

}
