package org.eelgrasspitch.node;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.WeakHashMap;

import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.eelgrasspitch.request.ConnectionHistory;
import org.eelgrasspitch.request.StatusLines;

/**
 * Lets the HTTP library use a kept connection to the target only for a request whose
 * answer could not be taken for that of an earlier one.
 * <p>
 * The library chooses the connection. Before anything of the request is written,
 * {@link #check} looks at the {@link ConnectionHistory} of the chosen one; if it must not
 * carry the request, the connection is closed and {@link #choose} has the library choose
 * again. So a request is still sent at most once.
 * <p>
 * Only {@code Request-Id} in an answer assigns it. One that names another request counts
 * as lost, and its connection is not used again, because the right one may follow. An
 * answer without it counts on a connection that has carried no other request, and that
 * connection is not used again. The library does not notice bytes that arrive between two
 * requests, so an answer that begins in the head of another one ({@link StatusLines})
 * counts as lost.
 * <p>
 * Thread-safe.
 */
final class KeptConnections {

	/** Header by which a target names the request that it answers. */
	static final String REQUEST_ID_HEADER = "Request-Id";

	private final int maxIdleConnections;

	/** Histories of the open connections; guarded by its own monitor. */
	private final Map<Connection, ConnectionHistory> histories = new WeakHashMap<>();

	/**
	 * Creates an empty instance.
	 * @param maxIdleConnections maximum number of idle connections that the library keeps
	 */
	KeptConnections(int maxIdleConnections) {
		this.maxIdleConnections = maxIdleConnections;
	}

	/**
	 * Adds the checks to a client.
	 * @param builder builder of the client
	 * @return the builder
	 */
	OkHttpClient.Builder addTo(OkHttpClient.Builder builder) {
		return builder.addInterceptor(this::choose).addNetworkInterceptor(this::check);
	}

	private Response choose(Interceptor.Chain chain) throws IOException {
		for (int refused = 0; refused < this.maxIdleConnections; refused++) {
			try {
				return chain.proceed(chain.request());
			}
			catch (UnusableConnectionException ex) {
				// Nothing was written; the library has closed the connection.
			}
		}
		return chain.proceed(chain.request());
	}

	private Response check(Interceptor.Chain chain) throws IOException {
		Request request = chain.request();
		String id = request.header(REQUEST_ID_HEADER);
		boolean first;
		boolean last;
		synchronized (this.histories) {
			ConnectionHistory history = this.histories.computeIfAbsent(chain.connection(),
					(opened) -> new ConnectionHistory());
			first = history.isEmpty();
			if (!first && !history.mayCarry(id)) {
				throw new UnusableConnectionException();
			}
			history.add(id);
			last = history.isFull();
		}
		BoundedSocketFactory.responseBegins(chain.connection().socket());
		Response response = chain.proceed(last ? request.newBuilder().header("Connection", "close").build() : request);
		Optional<String> fault = fault(response, id, first);
		if (fault.isPresent()) {
			// Further answers on this connection would be taken for those of later
			// requests.
			retire(chain.connection());
			response.close();
			throw new IOException(fault.get() + "; the answer to " + id + " counts as lost");
		}
		if (response.header(REQUEST_ID_HEADER) == null) {
			retire(chain.connection());
		}
		return response;
	}

	/**
	 * Returns why a response cannot be taken for the answer to a request.
	 * @param first whether the connection has carried no other request
	 * @return the reason, or empty if it can
	 */
	private static Optional<String> fault(Response response, String id, boolean first) {
		if (isJoined(response)) {
			return Optional.of("a response of the target begins in the head of another one");
		}
		String echoedId = response.header(REQUEST_ID_HEADER);
		if (echoedId == null) {
			return first ? Optional.empty() : Optional.of("a response of the target names no request");
		}
		return echoedId.equals(id) ? Optional.empty()
				: Optional.of("a response of the target names another request, " + echoedId);
	}

	private static boolean isJoined(Response response) {
		return StatusLines.isIn(response.message()) || response.headers()
			.names()
			.stream()
			.anyMatch((name) -> StatusLines.isIn(name) || response.headers(name).stream().anyMatch(StatusLines::isIn));
	}

	private void retire(Connection connection) {
		synchronized (this.histories) {
			this.histories.get(connection).retire();
		}
	}

	/**
	 * The chosen connection must not carry the request, of which nothing was written.
	 */
	private static final class UnusableConnectionException extends IOException {

		private static final long serialVersionUID = 1L;

	}

}
