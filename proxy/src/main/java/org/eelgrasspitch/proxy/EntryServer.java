package org.eelgrasspitch.proxy;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;

/**
 * Listens for callers, for readiness checks of the deployment, and for requests for the
 * metrics and the node state.
 */
final class EntryServer {

	private static final int MAX_REQUEST_LINE_BYTES = 65_536;

	/**
	 * Maximum size of the pieces in which the decoder passes on a body; longer chunks are
	 * split.
	 */
	private static final int MAX_CHUNK_BYTES = 16_384;

	/** Interval between checks for idle connections. */
	private static final long IDLE_CHECK_MILLIS = 1_000;

	/** Path of the node state report, on the address of the metrics. */
	private static final String NODE_STATE_PATH = "/beliefs";

	private final EntryService entry;

	private final NodeStateReporter reporter;

	private final Set<CallerConnection> connections = new HashSet<>();

	/** Listens for callers; null before the start. */
	private Channel callerListener;

	EntryServer(EntryService entry, NodeStateReporter reporter) {
		this.entry = entry;
		this.reporter = reporter;
	}

	void start() {
		ProxyContext context = this.entry.context();
		this.callerListener = Bootstraps.server(context.loop())
			.childHandler(entryInitializer())
			.bind(context.settings().entryAddress())
			.syncUninterruptibly()
			.channel();
		Bootstraps.server(context.loop())
			.childHandler(responderInitializer(this::readinessResponse))
			.bind(context.settings().readinessAddress())
			.syncUninterruptibly();
		Bootstraps.server(context.loop())
			.childHandler(responderInitializer(this::metricsOrStateResponse))
			.bind(context.settings().metricsAddress())
			.syncUninterruptibly();
		context.loop()
			.scheduleAtFixedRate(this::checkIdle, IDLE_CHECK_MILLIS, IDLE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
	}

	void opened(CallerConnection connection) {
		this.connections.add(connection);
	}

	void closed(CallerConnection connection) {
		this.connections.remove(connection);
	}

	void closeIdle() {
		long now = this.entry.context().now();
		List.copyOf(this.connections).forEach((connection) -> connection.closeIfIdle(now));
	}

	/**
	 * Accepts no more connections of callers. Those that wait to be accepted are reset,
	 * so their callers can tell that nothing was read.
	 */
	void stopAccepting() {
		this.callerListener.close();
	}

	/**
	 * Returns how many connections this node has ended that their callers have not
	 * closed.
	 * @return the number
	 */
	int endedConnections() {
		return (int) this.connections.stream().filter(CallerConnection::isOutputShut).count();
	}

	/**
	 * Gives each request in progress a final response.
	 */
	void answerBeforeClose() {
		List.copyOf(this.connections).forEach(CallerConnection::answerBeforeClose);
	}

	/**
	 * Returns how many bytes of responses wait to be sent to callers.
	 * @return the number on all connections, in bytes
	 */
	long waitingBytes() {
		return this.connections.stream().mapToLong(CallerConnection::waitingBytes).sum();
	}

	private void checkIdle() {
		long now = this.entry.context().now();
		List.copyOf(this.connections).forEach((connection) -> connection.checkIdle(now));
	}

	private ChannelInitializer<Channel> entryInitializer() {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				CallerConnection connection = new CallerConnection(EntryServer.this.entry, EntryServer.this);
				SocketInput input = new SocketInput(connection::headBegan);
				connection.setInput(input);
				int maxHeaderBytes = EntryServer.this.entry.limits().maxHeaderBytes();
				channel.pipeline()
					.addLast(input)
					.addLast(new HttpServerCodec(Math.min(MAX_REQUEST_LINE_BYTES, maxHeaderBytes), maxHeaderBytes,
							MAX_CHUNK_BYTES))
					.addLast(connection);
			}
		};
	}

	private static ChannelInitializer<Channel> responderInitializer(Function<HttpRequest, FullHttpResponse> responder) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline().addLast(new HttpServerCodec()).addLast(new ResponderHandler(responder));
			}
		};
	}

	private FullHttpResponse readinessResponse(HttpRequest request) {
		if (!request.uri().equals(this.entry.context().names().readinessPath())) {
			return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NOT_FOUND);
		}
		return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				this.entry.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
	}

	private FullHttpResponse metricsOrStateResponse(HttpRequest request) {
		if (request.uri().equals(NODE_STATE_PATH)) {
			return okResponse(this.reporter.report().json(), HttpHeaderValues.APPLICATION_JSON.toString());
		}
		return okResponse(this.entry.context().metrics().exposition(), PrometheusTextFormatWriter.CONTENT_TYPE);
	}

	private static FullHttpResponse okResponse(byte[] body, String type) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
				Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
		return response;
	}

	/**
	 * Responds to each request with the result of a function.
	 */
	private static final class ResponderHandler extends ChannelInboundHandlerAdapter {

		private final Function<HttpRequest, FullHttpResponse> responder;

		ResponderHandler(Function<HttpRequest, FullHttpResponse> responder) {
			this.responder = responder;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			if (message instanceof HttpRequest request) {
				FullHttpResponse response = this.responder.apply(request);
				response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
				context.writeAndFlush(response);
			}
			ReferenceCountUtil.release(message);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// Clients poll, so they will send the next request on a new connection.
			context.close();
		}

	}

}
