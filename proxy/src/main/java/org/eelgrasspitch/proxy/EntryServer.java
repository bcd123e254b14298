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

	private final EntryService service;

	private final BeliefReporter reporter;

	private final Set<CallerConnection> connections = new HashSet<>();

	EntryServer(EntryService service, BeliefReporter reporter) {
		this.service = service;
		this.reporter = reporter;
	}

	void start() {
		Fabric fabric = this.service.fabric();
		Connections.server(fabric.loop())
			.childHandler(entryInitializer())
			.bind(fabric.settings().entryAddress())
			.syncUninterruptibly();
		Connections.server(fabric.loop())
			.childHandler(answering(this::readiness))
			.bind(fabric.settings().readinessAddress())
			.syncUninterruptibly();
		Connections.server(fabric.loop())
			.childHandler(answering(this::observation))
			.bind(fabric.settings().metricsAddress())
			.syncUninterruptibly();
		fabric.loop().scheduleAtFixedRate(this::checkIdle, IDLE_CHECK_MILLIS, IDLE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
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
		long now = this.service.fabric().now();
		new ArrayList<>(this.connections).forEach((connection) -> connection.checkIdle(now));
	}

	private ChannelInitializer<Channel> entryInitializer() {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				CallerConnection connection = new CallerConnection(EntryServer.this.service, EntryServer.this);
				int headers = EntryServer.this.service.limits().maxHeaderBytes();
				channel.pipeline()
					.addLast(new HeadWatch(connection))
					.addLast(new HttpServerCodec(Math.min(MAX_LINE_BYTES, headers), headers, MAX_CHUNK_BYTES))
					.addLast(connection);
			}
		};
	}

	private static ChannelInitializer<Channel> answering(Function<HttpRequest, FullHttpResponse> answer) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline().addLast(new HttpServerCodec()).addLast(new Answering(answer));
			}
		};
	}

	private FullHttpResponse readiness(HttpRequest request) {
		if (!request.uri().equals(this.service.fabric().names().readinessPath())) {
			return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NOT_FOUND);
		}
		return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				this.service.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
	}

	private FullHttpResponse observation(HttpRequest request) {
		if (request.uri().equals(BELIEFS_PATH)) {
			return content(this.reporter.report().json(), HttpHeaderValues.APPLICATION_JSON.toString());
		}
		return content(this.service.fabric().metrics().exposition(), PrometheusTextFormatWriter.CONTENT_TYPE);
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
	private static final class HeadWatch extends ChannelInboundHandlerAdapter {

		private final CallerConnection connection;

		HeadWatch(CallerConnection connection) {
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
	private static final class Answering extends ChannelInboundHandlerAdapter {

		private final Function<HttpRequest, FullHttpResponse> answer;

		Answering(Function<HttpRequest, FullHttpResponse> answer) {
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
