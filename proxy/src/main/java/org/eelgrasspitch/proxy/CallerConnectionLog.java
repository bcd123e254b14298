package org.eelgrasspitch.proxy;

import java.net.SocketAddress;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Logs what goes wrong on a caller's connection.
 */
final class CallerConnectionLog {

	private final ProxyContext context;

	/** Exchange whose response was last found not to be written; null if none. */
	private Exchange unwritten;

	CallerConnectionLog(ProxyContext context) {
		this.context = context;
	}

	/**
	 * Logs a request that arrives while the connection closes; it gets no answer.
	 * @param message what arrived; ignored unless it is the head of a request
	 */
	void dropped(Object message) {
		if (message instanceof HttpRequest received && received.decoderResult().isSuccess()) {
			CallerRequest request = CallerRequest.of(received, this.context.names(), this.context.settings().service());
			new RequestLog(this.context.log(), request.id()).unanswered("closing");
		}
	}

	/**
	 * Logs that the end of a response that counted as complete was not written.
	 * @param exchange exchange of the response
	 */
	void unwritten(Exchange exchange) {
		if (exchange.isComplete() && this.unwritten != exchange) {
			this.unwritten = exchange;
			new RequestLog(this.context.log(), exchange.request().id()).unanswered("unwritten");
		}
	}

	/**
	 * Logs a request whose head cannot be read.
	 * @param status status that its caller gets
	 * @param cause why it cannot be read
	 */
	void malformed(HttpResponseStatus status, Throwable cause) {
		this.context.log()
			.logNodeEvent(LogEvent.REQUEST_REFUSED, "request", "", "status", status.code(), "reason",
					String.valueOf(cause));
	}

	/**
	 * Logs the failure of the connection.
	 * @param caller address of the caller
	 * @param requests number of requests in progress
	 * @param cause the failure
	 */
	void failed(SocketAddress caller, int requests, Throwable cause) {
		this.context.log()
			.logNodeEvent(LogEvent.CALLER_CONNECTION_FAILED, "caller", String.valueOf(caller), "requests", requests,
					"cause", String.valueOf(cause), "at", firstFrame(cause));
	}

	private static String firstFrame(Throwable cause) {
		StackTraceElement[] frames = cause.getStackTrace();
		return (frames.length > 0) ? frames[0].toString() : "";
	}

}
