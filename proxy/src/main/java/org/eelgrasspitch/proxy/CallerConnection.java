package org.eelgrasspitch.proxy;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * A caller's connection. Pipelined requests are processed concurrently; their responses
 * are sent in the order of the requests.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/**
	 * Number of requests in progress on one connection at which decoding stops; those
	 * already decoded are still processed.
	 */
	private static final int MAX_PIPELINED = 16;

	/** Time for the caller to close the connection after the last response. */
	private static final long LINGER_MILLIS = 1_000;

	/**
	 * Time beyond the idle timeout before a connection is closed, so that no caller that
	 * keeps to the timeout finds its connection closed.
	 */
	private static final long IDLE_SLACK_MILLIS = 500;

	/**
	 * Minimum time after the last response before an idle connection is closed during a
	 * stop: some round trips, because bytes that arrive afterwards reset the connection.
	 */
	private static final long MIN_IDLE_MILLIS = 100;

	private final EntryService entry;

	private final EntryServer server;

	/**
	 * Exchanges whose response is not fully written or whose request body is not fully
	 * received, oldest first.
	 */
	private final Deque<Exchange> exchanges = new ArrayDeque<>();

	/** Parts of responses that wait for earlier responses. */
	private final List<ResponsePart> queuedParts = new ArrayList<>();

	private Channel channel;

	private SocketInput input;

	/** Exchange whose request body is being received; null between requests. */
	private Exchange receiving;

	/** Whether no further request is read because the connection is about to close. */
	private boolean closing;

	private boolean outputShut;

	/** Whether this node ends the connection because of an exception of its own. */
	private boolean endedByException;

	private final CallerConnectionLog log;

	private long idleSinceMillis;

	private ScheduledFuture<?> headTimer;

	CallerConnection(EntryService entry, EntryServer server) {
		this.entry = entry;
		this.server = server;
		this.log = new CallerConnectionLog(entry.context());
	}

	/**
	 * Sets what arrives on this connection. Called before it is used.
	 */
	void setInput(SocketInput newInput) {
		this.input = newInput;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.idleSinceMillis = this.entry.context().now();
		this.server.opened(this);
	}

	/**
	 * Starts the header timeout when the first bytes of a request arrive.
	 */
	void headBegan() {
		if (this.headTimer == null && this.receiving == null && !this.closing) {
			this.headTimer = this.channel.eventLoop()
				.schedule(this::headTimedOut, this.entry.limits().headerTimeoutMillis(), TimeUnit.MILLISECONDS);
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			if (this.closing && this.receiving == null) {
				this.log.dropped(message);
				return;
			}
			if (!(message instanceof HttpObject part)) {
				return;
			}
			if (part.decoderResult().isFailure()) {
				handleMalformed(part.decoderResult().cause());
				return;
			}
			if (part instanceof HttpRequest request) {
				beginExchange(request);
			}
			if (part instanceof HttpContent content && this.receiving != null) {
				receiveBody(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.closing = true;
		this.outputShut = true;
		cancelHeadTimer();
		this.server.closed(this);
		endExchanges();
	}

	private void endExchanges() {
		List<Exchange> open = new ArrayList<>(this.exchanges);
		this.exchanges.clear();
		this.queuedParts.clear();
		Optional<String> ownReason = ownEndReason();
		open.forEach((exchange) -> exchange.disconnected(ownReason));
	}

	/**
	 * Runs an action that sends a request on, unless its caller has left. A node that is
	 * behind first handles everything else that it has read, and then reads this
	 * connection up to its end; otherwise the action is run at once.
	 * @param action the action
	 */
	void runForCaller(Runnable action) {
		if (!this.entry.context().watch().isBehind()) {
			action.run();
			return;
		}
		this.channel.eventLoop().execute(() -> {
			if (isCallerPresent()) {
				action.run();
				this.entry.flushLinks();
			}
		});
	}

	/**
	 * Reads the connection up to its end, and ends the requests in progress if the caller
	 * has left.
	 * @return false if the caller has left
	 */
	boolean isCallerPresent() {
		if (this.input.readPending()) {
			return true;
		}
		if (!this.exchanges.isEmpty()) {
			this.entry.context().metrics().departureFound(false);
			endExchanges();
		}
		return false;
	}

	/**
	 * Returns why this node ended the connection.
	 * @return the reason as logged; empty if the caller ended it
	 */
	private Optional<String> ownEndReason() {
		if (this.endedByException) {
			return Optional.of("exception");
		}
		return this.channel.eventLoop().isShuttingDown() ? Optional.of("node_closed") : Optional.empty();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.endedByException = !(cause instanceof IOException);
		this.log.failed(context.channel().remoteAddress(), this.exchanges.size(), cause);
		context.close();
	}

	/**
	 * Closes the connection if it has exceeded the idle timeout by
	 * {@link #IDLE_SLACK_MILLIS}.
	 * @param now current monotonic time in milliseconds
	 */
	void checkIdle(long now) {
		boolean inactive = isIdle() || (this.outputShut && this.exchanges.isEmpty());
		if (inactive && now - this.idleSinceMillis > this.entry.limits().idleTimeoutMillis() + IDLE_SLACK_MILLIS) {
			this.channel.close();
		}
	}

	/**
	 * Closes the connection if no request is in progress and the last response has had
	 * time to arrive. Nothing is read any more, so a caller whose request was on its way
	 * can tell that it was not read.
	 * @param now current monotonic time in milliseconds
	 */
	void closeIfIdle(long now) {
		if (isIdle() && waitingBytes() == 0 && now - this.idleSinceMillis > MIN_IDLE_MILLIS) {
			this.channel.close();
		}
	}

	/**
	 * Gives each request in progress a final response, because this node is about to
	 * close.
	 */
	void answerBeforeClose() {
		List.copyOf(this.exchanges).forEach(Exchange::answerBeforeClose);
	}

	/**
	 * Returns how many bytes of responses wait to be sent.
	 * @return the number of bytes; 0 if the connection is closed
	 */
	long waitingBytes() {
		return WriteBuffers.waitingBytes(this.channel);
	}

	/**
	 * Returns whether all responses are sent or queued and the caller has not closed the
	 * connection.
	 * @return true from the end of the output to the close
	 */
	boolean isOutputShut() {
		return this.outputShut;
	}

	private boolean isIdle() {
		return this.exchanges.isEmpty() && this.receiving == null && this.headTimer == null && !this.outputShut;
	}

	/**
	 * Determines whether the connection closes after a response; if so, adds
	 * {@code Connection: close} to it and stops accepting requests. It closes if the
	 * caller does not keep it open, if the request is malformed, or if the node is
	 * stopping and no later request is pipelined.
	 * @param exchange exchange of the response
	 * @param response head of the response
	 */
	void setConnectionHeader(Exchange exchange, HttpResponse response) {
		boolean last = this.exchanges.peekLast() == exchange;
		boolean stop = this.entry.isStopping() && last;
		if (exchange.request().keepAlive() && !stop && exchange.request().errorStatus().isEmpty()) {
			return;
		}
		this.closing = true;
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
	}

	/**
	 * Writes a part of a response, or queues it until all earlier responses are complete.
	 * @param exchange exchange of the response
	 * @param part the part
	 * @param creditBytes number of body bytes in the part, reported to the exchange once
	 * written; 0 if there are none
	 */
	void emit(Exchange exchange, HttpObject part, int creditBytes) {
		if (this.exchanges.peek() == exchange) {
			write(new ResponsePart(exchange, part, creditBytes));
			return;
		}
		this.queuedParts.add(new ResponsePart(exchange, part, creditBytes));
	}

	/**
	 * Records an admitted request as a follower of each incomplete request ahead of it,
	 * because those delay its response.
	 * @param exchange exchange of the request
	 */
	void admitted(Exchange exchange) {
		for (Exchange earlier : this.exchanges) {
			if (earlier != exchange && !earlier.isComplete()) {
				earlier.pipelinePosition().recordFollower(exchange.route().objectiveMillis());
			}
		}
	}

	/**
	 * Called when all parts of a response have been emitted. If it is the oldest one,
	 * flushes it and advances the pipeline; otherwise it waits for the earlier ones.
	 * @param exchange exchange of the response
	 */
	void finished(Exchange exchange) {
		if (this.exchanges.peek() == exchange) {
			this.channel.flush();
			advancePipeline();
		}
	}

	/**
	 * Drops what has been emitted of a response if nothing of it is written yet, because
	 * earlier responses are not complete. Another response may be emitted in its place.
	 * @param exchange exchange of the response
	 * @return false if a part of the response is written
	 */
	boolean withdraw(Exchange exchange) {
		if (this.exchanges.peek() == exchange) {
			return false;
		}
		this.queuedParts.removeIf((part) -> part.exchange() == exchange);
		return true;
	}

	/**
	 * Closes the connection without completing the response that is being written.
	 */
	void abort() {
		this.closing = true;
		this.outputShut = true;
		this.channel.close();
	}

	/**
	 * Holds what arrives while a request body is blocked or {@link #MAX_PIPELINED}
	 * requests are in progress.
	 */
	void updateReading() {
		boolean blocked = this.receiving != null && this.receiving.isBodyBlocked();
		this.input.setHolding(blocked || this.exchanges.size() >= MAX_PIPELINED);
	}

	private void beginExchange(HttpRequest received) {
		cancelHeadTimer();
		CallerRequest request = CallerRequest.of(received, this.entry.context().names(),
				this.entry.context().settings().service());
		Exchange exchange = new Exchange(this.entry, this, request);
		this.exchanges.add(exchange);
		this.receiving = exchange;
		if (HttpUtil.is100ContinueExpected(received)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
		exchange.begin();
		updateReading();
	}

	private void receiveBody(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		Exchange current = this.receiving;
		if (last) {
			this.receiving = null;
		}
		if (current.request().hasBody()) {
			current.receiveBody(ByteBufUtil.getBytes(content.content()), last);
		}
		if (this.exchanges.peek() == current && current.isComplete()) {
			advancePipeline();
		}
		updateReading();
	}

	private void handleMalformed(Throwable cause) {
		HttpResponseStatus status = (cause instanceof TooLongHttpHeaderException)
				? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST;
		this.log.malformed(status, cause);
		respondAndClose(status);
	}

	private void headTimedOut() {
		this.headTimer = null;
		respondAndClose(HttpResponseStatus.REQUEST_TIMEOUT);
	}

	private void respondAndClose(HttpResponseStatus status) {
		this.closing = true;
		if (!this.exchanges.isEmpty()) {
			// The exchanges in progress still send their responses. A request whose head
			// is malformed or timed out has no exchange and gets no response.
			this.receiving = null;
			return;
		}
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		this.channel.writeAndFlush(response);
		shutDownOutput();
	}

	private void cancelHeadTimer() {
		if (this.headTimer != null) {
			this.headTimer.cancel(false);
			this.headTimer = null;
		}
	}

	/**
	 * Removes the completed exchanges at the head of the pipeline and writes the queued
	 * parts of the next one. Shuts down the output if the connection is closing and no
	 * exchange is left.
	 */
	private void advancePipeline() {
		while (!this.exchanges.isEmpty() && this.exchanges.peek().isComplete()) {
			this.exchanges.poll();
			writeQueuedParts();
			Optional.ofNullable(this.exchanges.peek())
				.filter(Exchange::isComplete)
				.ifPresent(Exchange::responseUnblocked);
		}
		this.idleSinceMillis = this.entry.context().now();
		if (this.closing && this.exchanges.isEmpty()) {
			shutDownOutput();
			return;
		}
		updateReading();
	}

	private void writeQueuedParts() {
		Exchange next = this.exchanges.peek();
		List<ResponsePart> ready = this.queuedParts.stream().filter((part) -> part.exchange() == next).toList();
		this.queuedParts.removeAll(ready);
		ready.forEach(this::write);
		this.channel.flush();
	}

	private void write(ResponsePart part) {
		if (part.creditBytes() == 0) {
			this.channel.write(part.content());
			return;
		}
		this.channel.writeAndFlush(part.content()).addListener((ChannelFutureListener) (future) -> {
			if (future.isSuccess()) {
				this.idleSinceMillis = this.entry.context().now();
				part.exchange().written(part.creditBytes());
				return;
			}
			this.log.unwritten(part.exchange());
		});
	}

	/**
	 * Shuts down the output once all responses are sent and then waits for the caller to
	 * close, because closing at once may reset the connection and lose the last response.
	 * A caller that takes nothing for the idle timeout is not waited for.
	 */
	private void shutDownOutput() {
		if (this.outputShut) {
			return;
		}
		this.outputShut = true;
		this.closing = true;
		this.input.setHolding(false);
		this.idleSinceMillis = this.entry.context().now();
		this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((future) -> {
			((DuplexChannel) this.channel).shutdownOutput();
			this.channel.eventLoop().schedule(() -> this.channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
		});
	}

	/**
	 * A part of a response.
	 *
	 * @param exchange exchange of the response
	 * @param content the part
	 * @param creditBytes number of body bytes in the part; 0 if there are none
	 */
	private record ResponsePart(Exchange exchange, HttpObject content, int creditBytes) {

	}

}
