package org.eelgrasspitch.testkit;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.eelgrasspitch.misc.Addresses;

/**
 * Blocking HTTP client that stands in for callers and operators' tools. It does not retry
 * and follows no redirects.
 */
public final class HttpCaller implements AutoCloseable {

	private static final int OK = 200;

	private static final RequestBody EMPTY = RequestBody.create(new byte[0]);

	private static final int MAX_IDLE_CONNECTIONS = 256;

	private final OkHttpClient client;

	/**
	 * Creates a caller.
	 * @param timeoutMillis timeout of a whole request, in milliseconds; the connect
	 * timeout is at most 1000 ms
	 */
	public HttpCaller(long timeoutMillis) {
		this.client = new OkHttpClient.Builder().callTimeout(Duration.ofMillis(timeoutMillis))
			.readTimeout(Duration.ofMillis(timeoutMillis))
			.connectTimeout(Duration.ofMillis(Math.min(timeoutMillis, 1_000)))
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, 30, TimeUnit.SECONDS))
			.build();
	}

	/**
	 * Sends a request to a node.
	 * @param node the node's address for callers
	 * @param call the request
	 * @return the response, or empty when the request failed without one
	 */
	public Optional<CallResponse> call(InetSocketAddress node, CallSpec call) {
		Request.Builder builder = request(node, "/" + call.service() + "/" + call.operation())
			.post(RequestBody.create(call.body()))
			.header("Request-Id", call.requestId())
			.header("Request-Attempt", Integer.toString(call.attempt()));
		call.ticket().ifPresent((ticket) -> builder.header("Request-Ticket", ticket));
		if (call.crashTarget()) {
			builder.header("Crash-Target", "yes");
		}
		return send(builder.build());
	}

	/**
	 * Requests tickets for at-most-once requests.
	 * @param node the node's address for callers
	 * @param service the service
	 * @param operation the operation
	 * @param count number of tickets
	 * @return the tickets; empty when the node refused or did not respond
	 */
	public List<String> tickets(InetSocketAddress node, String service, String operation, int count) {
		Request request = request(node, "/-/tickets/" + service + "/" + operation + "?count=" + count).post(EMPTY)
			.build();
		return send(request).filter((answer) -> answer.status() == OK)
			.map((answer) -> Json.read(answer.body(), TicketList.class).tickets())
			.orElse(List.of());
	}

	/**
	 * Sends a GET request.
	 * @param server the server
	 * @param path path and query
	 * @return the response, or empty when the request failed without one
	 */
	public Optional<CallResponse> get(InetSocketAddress server, String path) {
		return send(request(server, path).get().build());
	}

	/**
	 * Fetches and parses a JSON document.
	 * @param <T> type of the document
	 * @param server the server
	 * @param path path and query
	 * @param type class of the document
	 * @return the document, or empty unless the response has status 200
	 * @throws java.io.UncheckedIOException if the document does not fit the type
	 */
	public <T> Optional<T> read(InetSocketAddress server, String path, Class<T> type) {
		return get(server, path).filter((answer) -> answer.status() == OK)
			.map((answer) -> Json.read(answer.body(), type));
	}

	/**
	 * Sends a POST request without a body.
	 * @param server the server
	 * @param path path and query
	 * @return the response, or empty when the request failed without one
	 */
	public Optional<CallResponse> post(InetSocketAddress server, String path) {
		return send(request(server, path).post(EMPTY).build());
	}

	/**
	 * Sends a POST request without a body, with the header {@code Request-Id}.
	 * @param server the server
	 * @param path path and query
	 * @param requestId the request's identifier
	 * @return the response, or empty when the request failed without one
	 */
	public Optional<CallResponse> post(InetSocketAddress server, String path, String requestId) {
		return send(request(server, path).post(EMPTY).header("Request-Id", requestId).build());
	}

	/**
	 * Sends a DELETE request.
	 * @param server the server
	 * @param path path and query
	 * @return the response, or empty when the request failed without one
	 */
	public Optional<CallResponse> delete(InetSocketAddress server, String path) {
		return send(request(server, path).delete().build());
	}

	/**
	 * Sends a PUT request.
	 * @param server the server
	 * @param path path and query
	 * @param body the body
	 * @return the response, or empty when the request failed without one
	 */
	public Optional<CallResponse> put(InetSocketAddress server, String path, byte[] body) {
		return send(request(server, path).put(RequestBody.create(body)).build());
	}

	@Override
	public void close() {
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
	}

	private Optional<CallResponse> send(Request request) {
		try (Response response = this.client.newCall(request).execute()) {
			return Optional.of(new CallResponse(response.code(), Optional.ofNullable(response.header("Request-Ran")),
					Optional.ofNullable(response.header("Request-Id")),
					Optional.ofNullable(response.header("Config-Version")),
					Optional.ofNullable(response.header("Retry-After")),
					Optional.ofNullable(response.header("Location")), response.body().bytes()));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	private static Request.Builder request(InetSocketAddress server, String path) {
		return new Request.Builder().url("http://" + Addresses.format(server) + path);
	}

	/**
	 * A request to send.
	 *
	 * @param service the service
	 * @param operation the operation
	 * @param requestId the request's identifier
	 * @param ticket ticket of an at-most-once request; empty for others
	 * @param attempt number of the attempt, from 1
	 * @param body the body
	 * @param crashTarget whether the target stand-in that runs it crashes
	 */
	public record CallSpec(String service, String operation, String requestId, Optional<String> ticket, int attempt,
			byte[] body, boolean crashTarget) {

		/**
		 * Creates a first attempt without a ticket and with an empty body.
		 * @param service the service
		 * @param operation the operation
		 * @param requestId the request's identifier
		 * @return the request
		 */
		public static CallSpec of(String service, String operation, String requestId) {
			return new CallSpec(service, operation, requestId, Optional.empty(), 1, new byte[0], false);
		}

		/**
		 * Returns a copy with a ticket.
		 * @param written the ticket
		 * @return the copy
		 */
		public CallSpec withTicket(String written) {
			return new CallSpec(this.service, this.operation, this.requestId, Optional.of(written), this.attempt,
					this.body, this.crashTarget);
		}

		/**
		 * Returns a copy with the attempt number increased by one.
		 * @return the copy
		 */
		public CallSpec nextAttempt() {
			return new CallSpec(this.service, this.operation, this.requestId, this.ticket, this.attempt + 1, this.body,
					this.crashTarget);
		}

	}

	/**
	 * A response.
	 *
	 * @param status HTTP status
	 * @param ran header {@code Request-Ran}; empty when absent
	 * @param requestId header {@code Request-Id}; empty when absent
	 * @param version header {@code Config-Version}; empty when absent
	 * @param retryAfter header {@code Retry-After}; empty when absent
	 * @param location header {@code Location}; empty when absent
	 * @param body the complete body
	 */
	public record CallResponse(int status, Optional<String> ran, Optional<String> requestId, Optional<String> version,
			Optional<String> retryAfter, Optional<String> location, byte[] body) {

	}

	/**
	 * Body of a response with tickets.
	 *
	 * @param tickets the tickets
	 */
	private record TicketList(List<String> tickets) {

	}

}
