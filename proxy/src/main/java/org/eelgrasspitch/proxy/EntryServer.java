package org.eelgrasspitch.proxy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;
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
 * Listens for callers and for the deployment's question whether this node is ready.
 */
final class EntryServer {

	private static final int MAX_LINE_BYTES = 65_536;

	private static final int MAX_CHUNK_BYTES = 16_384;

	/** How often idle connections are looked for. */
	private static final long IDLE_CHECK_MILLIS = 1_000;

	/** Where the node tells what it believes, beside the metrics. */
	private static final String BELIEFS_PATH = "/beliefs";

	private final EntryService entry;

	private final NodeStateReporter reporter;

	private final Set<CallerConnection> connections = new HashSet<>();

	EntryServer(EntryService entry, NodeStateReporter reporter) {
		this.entry = entry;
		this.reporter = reporter;
	}

	void start() {
		ProxyContext context = this.entry.context();
		Bootstraps.server(context.loop())
			.childHandler(entryInitializer())
			.bind(context.settings().entryAddress())
			.syncUninterruptibly();
		Bootstraps.server(context.loop())
			.childHandler(answeringInitializer(this::readiness))
			.bind(context.settings().readinessAddress())
			.syncUninterruptibly();
		Bootstraps.server(context.loop())
			.childHandler(answeringInitializer(this::metricsOrStateResponse))
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
		new ArrayList<>(this.connections).forEach(CallerConnection::closeIfIdle);
	}

	private void checkIdle() {
		long now = this.entry.context().now();
		new ArrayList<>(this.connections).forEach((connection) -> connection.checkIdle(now));
	}

	private ChannelInitializer<Channel> entryInitializer() {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				CallerConnection connection = new CallerConnection(EntryServer.this.entry, EntryServer.this);
				int headers = EntryServer.this.entry.limits().maxHeaderBytes();
				channel.pipeline()
					.addLast(new RequestStartDetector(connection))
					.addLast(new HttpServerCodec(Math.min(MAX_LINE_BYTES, headers), headers, MAX_CHUNK_BYTES))
					.addLast(connection);
			}
		};
	}

	private static ChannelInitializer<Channel> answeringInitializer(Function<HttpRequest, FullHttpResponse> answer) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline().addLast(new HttpServerCodec()).addLast(new AnsweringHandler(answer));
			}
		};
	}

	private FullHttpResponse readiness(HttpRequest request) {
		if (!request.uri().equals(this.entry.context().names().readinessPath())) {
			return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NOT_FOUND);
		}
		return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				this.entry.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
	}

	private FullHttpResponse metricsOrStateResponse(HttpRequest request) {
		if (request.uri().equals(BELIEFS_PATH)) {
			return content(this.reporter.report().json(), HttpHeaderValues.APPLICATION_JSON.toString());
		}
		return content(this.entry.context().metrics().exposition(), PrometheusTextFormatWriter.CONTENT_TYPE);
	}

	private static FullHttpResponse content(byte[] body, String type) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
				Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
		return response;
	}

	/**
	 * Tells a connection when the first bytes of a request arrive.
	 */
	private static final class RequestStartDetector extends ChannelInboundHandlerAdapter {

		private final CallerConnection connection;

		RequestStartDetector(CallerConnection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			if (message instanceof ByteBuf bytes && bytes.isReadable()) {
				this.connection.headBegan();
			}
			context.fireChannelRead(message);
		}

	}

	/**
	 * Answers every request by a function of it.
	 */
	private static final class AnsweringHandler extends ChannelInboundHandlerAdapter {

		private final Function<HttpRequest, FullHttpResponse> answer;

		AnsweringHandler(Function<HttpRequest, FullHttpResponse> answer) {
			this.answer = answer;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			if (message instanceof HttpRequest request) {
				FullHttpResponse response = this.answer.apply(request);
				response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
				context.writeAndFlush(response);
			}
			ReferenceCountUtil.release(message);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// Whoever asks will ask again.
			context.close();
		}

	}

}
