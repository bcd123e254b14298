package org.eelgrasspitch.node;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSink;
import okio.BufferedSource;
import org.eelgrasspitch.mesh.TargetStatement;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Header;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.wire.WireLimits;

/**
 * Sends requests to the target of this VM over HTTP.
 * <p>
 * All automatic retries of the HTTP library are disabled: retry on connection failure,
 * redirects and, by a one-shot body, the retry after status 503. So one call sends a
 * request at most once. A refused connection or a missing route yields
 * {@link CallOutcome.NotRun}; any other failure yields {@link CallOutcome.Unknown},
 * because bytes may have arrived. This includes a connect timeout, although nothing was
 * sent then. A response of status 503 with the header {@code Request-Ran: no} is trusted
 * and yields {@link CallOutcome.NotRun}.
 * <p>
 * A response without a length ends with its connection. If writing the request fails, the
 * HTTP library still reads what the target has answered, and the reset that the write has
 * seen then looks like the end of the stream. Such a response counts as lost.
 * <p>
 * A late or repeated response to an earlier request counts as lost as well, see
 * {@link KeptConnections}.
 */
final class TargetClient implements AutoCloseable {

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	private static final Duration HEALTH_TIMEOUT = Duration.ofMillis(800);

	/** Maximum number of bytes of a health response that are read. */
	private static final long MAX_HEALTH_BYTES = 65_536;

	/**
	 * Maximum number of bytes that are received for one response, with its heads and the
	 * framing of its body.
	 */
	private static final long MAX_RESPONSE_BYTES = 2L * WireLimits.MAX_BODY_BYTES;

	private static final int MAX_IDLE_CONNECTIONS = 100;

	private static final long KEEP_ALIVE_SECONDS = 30;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final Set<String> NOT_FORWARDED_HEADERS = Set.of("connection", "content-length", "transfer-encoding",
			"date", "keep-alive", "request-ran");

	private final String host;

	private final int port;

	private final OkHttpClient client;

	/** Client for health queries, which keeps no connection. */
	private final OkHttpClient healthClient;

	TargetClient(NodeSettings settings) {
		this.host = settings.targetAddress().getAddress().getHostAddress();
		this.port = settings.targetAddress().getPort();
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(Integer.MAX_VALUE);
		dispatcher.setMaxRequestsPerHost(Integer.MAX_VALUE);
		this.healthClient = new OkHttpClient.Builder().dispatcher(dispatcher)
			.socketFactory(new BoundedSocketFactory(MAX_RESPONSE_BYTES))
			.connectionPool(new ConnectionPool(0, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
			.protocols(List.of(Protocol.HTTP_1_1))
			.connectTimeout(CONNECT_TIMEOUT)
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.followSslRedirects(false)
			.readTimeout(Duration.ZERO)
			.build();
		this.client = new KeptConnections(MAX_IDLE_CONNECTIONS).addTo(this.healthClient.newBuilder())
			.connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
			.build();
	}

	/**
	 * Sends a request as {@code POST /{operation}}, whatever method the caller used.
	 * @param request the request
	 * @param timeoutMillis maximum time until the complete response has arrived, in
	 * milliseconds
	 * @param statements receives what the target states about itself, before the outcome;
	 * not called without a response
	 * @param callback receives the outcome exactly once
	 * @return the call, which can be cancelled
	 */
	Call send(CallMessage.Request request, long timeoutMillis, Consumer<TargetStatement> statements,
			Consumer<CallOutcome> callback) {
		OneShotBody body = new OneShotBody(request.body());
		Request.Builder builder = new Request.Builder().url(url(request.route().operation())).post(body);
		request.headers().forEach((header) -> builder.header(header.name(), header.value()));
		builder.header(KeptConnections.REQUEST_ID_HEADER, request.requestId())
			.header("Request-Deadline-Millis", Long.toString(timeoutMillis))
			.header("Config-Version", Long.toString(request.revision()));
		Call call = this.client.newCall(builder.build());
		call.timeout().timeout(timeoutMillis, TimeUnit.MILLISECONDS);
		call.enqueue(new ResponseHandler(body, statements, callback));
		return call;
	}

	/**
	 * Queries whether the target is draining. The response may be outdated or wrong.
	 * @param callback receives true if the target reports that it is draining; not called
	 * if the target does not respond
	 */
	void probe(Consumer<Boolean> callback) {
		Call call = this.healthClient.newCall(new Request.Builder().url(url("health")).build());
		call.timeout().timeout(HEALTH_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		call.enqueue(new Callback() {
			@Override
			public void onFailure(Call failed, IOException cause) {
				// A missing response is no evidence of draining.
			}

			@Override
			public void onResponse(Call answered, Response response) throws IOException {
				try (response) {
					callback.accept(beginning(response.body().source()).contains("draining"));
				}
			}
		});
	}

	@Override
	public void close() {
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
	}

	/**
	 * Reads at most the first {@link #MAX_HEALTH_BYTES} bytes, because a target in
	 * trouble may send bytes without end.
	 */
	private static String beginning(BufferedSource source) throws IOException {
		source.request(MAX_HEALTH_BYTES);
		return source.readUtf8(Math.min(source.getBuffer().size(), MAX_HEALTH_BYTES));
	}

	private HttpUrl url(String path) {
		return new HttpUrl.Builder().scheme("http").host(this.host).port(this.port).addPathSegment(path).build();
	}

	/**
	 * Converts the result of a call into an outcome.
	 *
	 * @param body body of the request
	 * @param statements receives what the target states about itself
	 * @param callback receives the outcome
	 */
	private record ResponseHandler(OneShotBody body, Consumer<TargetStatement> statements,
			Consumer<CallOutcome> callback) implements Callback {

		@Override
		public void onFailure(Call call, IOException cause) {
			boolean connectFailed = cause instanceof ConnectException || cause instanceof NoRouteToHostException;
			if (connectFailed) {
				this.callback.accept(new CallOutcome.NotRun(Reason.TARGET_UNREACHABLE, 0));
				return;
			}
			this.callback.accept(new CallOutcome.Unknown(call.isCanceled() ? Reason.CANCELLED : Reason.ANSWER_LOST));
		}

		@Override
		public void onResponse(Call call, Response response) {
			CallOutcome outcome;
			this.statements
				.accept(TargetStatement.of(response.header("Target-Limit"), isLeaving(response), !isRefusal(response)));
			try (response) {
				outcome = outcome(response);
			}
			catch (IOException ex) {
				outcome = new CallOutcome.Unknown(Reason.ANSWER_LOST);
			}
			this.callback.accept(outcome);
		}

		private static boolean isRefusal(Response response) {
			return response.code() == SERVICE_UNAVAILABLE && "no".equals(response.header("Request-Ran"));
		}

		private static boolean isLeaving(Response response) {
			return "leaving".equals(response.header("Target-State"));
		}

		private CallOutcome outcome(Response response) throws IOException {
			if (isRefusal(response)) {
				return new CallOutcome.NotRun(isLeaving(response) ? Reason.LEAVING : Reason.TARGET_REFUSED, 0);
			}
			BufferedSource source = response.body().source();
			if (source.request(WireLimits.MAX_BODY_BYTES + 1L)) {
				return new CallOutcome.Unknown(Reason.ANSWER_TOO_LONG);
			}
			if (endsWithConnection(response) && !this.body.isWritten()) {
				return new CallOutcome.Unknown(Reason.ANSWER_LOST);
			}
			byte[] content = source.readByteArray();
			List<Header> headers = new ArrayList<>();
			response.headers().forEach((pair) -> {
				if (!NOT_FORWARDED_HEADERS.contains(pair.getFirst().toLowerCase(Locale.ROOT))) {
					headers.add(new Header(pair.getFirst(), pair.getSecond()));
				}
			});
			return new CallOutcome.Answered(response.code(), headers, content);
		}

		private static boolean endsWithConnection(Response response) {
			return response.header("Content-Length") == null && response.header("Transfer-Encoding") == null;
		}

	}

	/**
	 * A body that the HTTP library must not send twice.
	 */
	private static final class OneShotBody extends RequestBody {

		private final byte[] content;

		/** Whether the system has accepted the whole body. */
		private volatile boolean written;

		OneShotBody(byte[] content) {
			this.content = content;
		}

		@Override
		public MediaType contentType() {
			return null;
		}

		@Override
		public long contentLength() {
			return this.content.length;
		}

		@Override
		public boolean isOneShot() {
			return true;
		}

		@Override
		public void writeTo(BufferedSink sink) throws IOException {
			sink.write(this.content);
			sink.flush();
			this.written = true;
		}

		boolean isWritten() {
			return this.written;
		}

	}

}
