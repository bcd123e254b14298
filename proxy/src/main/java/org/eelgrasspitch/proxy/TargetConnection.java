package org.eelgrasspitch.proxy;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.eelgrasspitch.request.ConnectionHistory;

/**
 * An HTTP connection to the target on this VM. It carries one call at a time, and each
 * request identifier at most once, see {@link ConnectionHistory}.
 * <p>
 * Responses are checked before they are passed on. A response that echoes another
 * identifier arrived late; it is skipped, and the connection is closed after the call. A
 * response with the not-run header, or with status 421 and no signature, is a refusal if
 * it echoes the identifier of the call, or the call has none. Any other response must
 * echo the identifier of the call and carry the signature header, whose value is not
 * verified; a successful one must also be unencoded. Bytes that are not a valid response,
 * or that arrive while no call is in progress, close the connection. So does a target
 * that sends more than a bounded number of responses and bytes that do not belong to the
 * call. The body of a refusal, or of a response that nobody waits for, is read to its end
 * only so that the connection can be used again.
 * <p>
 * A response without a length ends with the connection, and only the end of the stream
 * completes it. The decoder ends such a response whenever the channel closes, also after
 * a reset that a write has seen before a read. The channel therefore stays open at the
 * end of the stream (half-closure), and a last part that arrives when it is closed
 * already counts as broken off.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {

	/**
	 * Maximum number of interim and late responses before the response to a call. A
	 * target in trouble may send them without end.
	 */
	private static final int MAX_SKIPPED_RESPONSES = 64;

	/**
	 * Maximum number of bytes that are read and dropped during a call, as the bodies of
	 * late responses or of a response that nobody waits for, with what frames them.
	 */
	private static final long MAX_SKIPPED_BYTES = 4L * 1024 * 1024;

	/** Maximum number of body bytes of a refusal that are read to keep the connection. */
	private static final long MAX_REFUSAL_BYTES = 65_536;

	/** Time for which the rest of a refusal is awaited to keep the connection. */
	private static final long REFUSAL_BODY_MILLIS = 50;

	/** Idle timeout of a target that does not announce one. */
	private static final long DEFAULT_IDLE_TIMEOUT_SECONDS = 4;

	/**
	 * A connection is no longer used when at most this time remains until the target's
	 * idle timeout, in milliseconds.
	 */
	private static final long IDLE_TIMEOUT_MARGIN_MILLIS = 1_000;

	private static final int FIRST_FINAL_STATUS = 200;

	private static final int FIRST_NON_SUCCESS_STATUS = 300;

	private static final int MISDIRECTED_REQUEST_STATUS = 421;

	private final HomeService home;

	private final TargetConnector connector;

	private final BodyCollector collector = new BodyCollector();

	private Channel channel;

	private final ConnectionHistory history = new ConnectionHistory();

	/**
	 * Whether the connection carries requests whose responses are heads alone. It then
	 * carries no others, because a copy of an earlier response could not be read by the
	 * rules for the request that it answers.
	 */
	private boolean headOnly;

	/** The call in progress; null while idle. */
	private HomeCall call;

	private boolean bodyEnded;

	/** Whether the response to the call has started. */
	private boolean responseStarted;

	/**
	 * Whether the current response is skipped because it is interim or belongs to an
	 * earlier request.
	 */
	private boolean skippingResponse;

	private int skippedResponses;

	/** Bytes received with parts that were dropped during the call. */
	private long skippedBytes;

	/** The refusal stated by the current response; null if it states none. */
	private FailureReason refusal;

	/** Whether the target served the call. */
	private boolean succeeded;

	private boolean reusable = true;

	private long responseCreditBytes;

	private long idleSinceMillis;

	private long idleTimeoutMillis = TimeUnit.SECONDS.toMillis(DEFAULT_IDLE_TIMEOUT_SECONDS);

	private TargetConnection(HomeService home, TargetConnector connector) {
		this.home = home;
		this.connector = connector;
	}

	static ChannelInitializer<Channel> initializer(HomeService home, TargetConnector connector) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(Channel created) {
				TargetConnection connection = new TargetConnection(home, connector);
				created.pipeline()
					.addLast(connection.collector)
					.addLast(new HttpRequestEncoder())
					.addLast(new TargetResponseDecoder(connection))
					.addLast(connection);
			}
		};
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.idleSinceMillis = this.home.now();
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.connector.connectionOpened(this);
	}

	boolean isUsable(long now) {
		return this.channel.isActive() && this.reusable
				&& idleMillis(now) < this.idleTimeoutMillis - IDLE_TIMEOUT_MARGIN_MILLIS;
	}

	long idleMillis(long now) {
		return now - this.idleSinceMillis;
	}

	/**
	 * Returns whether the answer to a request could not be taken for another one that
	 * this connection has carried, nor another one for it.
	 * @param head the request
	 * @return false if another connection must be used
	 */
	boolean mayCarry(CallHead head) {
		return this.history.mayCarry(head.requestId())
				&& (this.history.isEmpty() || this.headOnly == head.asksForHeadOnly());
	}

	boolean isIdle() {
		return this.call == null;
	}

	/**
	 * Returns whether all responses consist of their heads alone.
	 * @return true if all requests of this connection ask for that
	 */
	boolean isHeadOnly() {
		return this.headOnly;
	}

	boolean isWritable() {
		return this.channel.isWritable();
	}

	/**
	 * Sends a call to the target.
	 * @param sent the call
	 */
	void send(HomeCall sent) {
		this.call = sent;
		this.headOnly = sent.head().asksForHeadOnly();
		this.history.add(sent.head().requestId());
		this.reusable &= !this.history.isFull();
		this.bodyEnded = false;
		this.responseStarted = false;
		this.refusal = null;
		this.skippedResponses = 0;
		this.skippedBytes = 0;
		this.collector.reset();
		this.responseCreditBytes = CallListener.WINDOW_BYTES;
		this.channel.write(TargetRequest.of(sent.head(), this.home.headerNames(), this.home.now()));
		sent.useConnection(this);
		this.channel.flush();
	}

	boolean isResponseStarted() {
		return this.responseStarted;
	}

	void writeBody(byte[] content) {
		this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(content)));
	}

	void endBody() {
		if (!this.bodyEnded) {
			this.bodyEnded = true;
			this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
		}
	}

	void credit(int bytes) {
		this.responseCreditBytes += bytes;
		this.channel.config().setAutoRead(this.responseCreditBytes > 0);
	}

	/**
	 * Returns the connection to the idle connections.
	 */
	void release() {
		this.idleSinceMillis = this.home.now();
		this.connector.addIdle(this);
	}

	void abort() {
		this.call = null;
		this.reusable = false;
		this.channel.close();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			if (!(message instanceof HttpObject part) || part.decoderResult().isFailure() || this.call == null) {
				recordAnswerWhileIdle(message);
				failConnection(FailureReason.TARGET_GARBLED);
				return;
			}
			if (part instanceof HttpResponse response) {
				handleResponse(response);
			}
			if (part instanceof HttpContent content && this.call != null) {
				handleContent(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void recordAnswerWhileIdle(Object message) {
		if (this.call == null && message instanceof HttpResponse response) {
			String echoedId = response.headers().get(this.home.headerNames().requestId(), "");
			this.connector.strayAnswer(echoedId, response.status().code(), null);
		}
		if (message == TargetResponseDecoder.STRAY_BYTES) {
			this.connector.strayAnswer("", 0, null);
		}
	}

	/**
	 * Goes on with the request body when the connection is writable again. The event that
	 * it is not comes from within a write, and the encoder must not be used inside one of
	 * its own writes: it would send the parts of the outer one again.
	 */
	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.call != null && isWritable()) {
			this.call.pump();
		}
	}

	/**
	 * Closes the connection at the end of the stream, after the decoder has ended a
	 * response without a length.
	 */
	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event == ChannelInputShutdownEvent.INSTANCE) {
			failConnection(FailureReason.TARGET_BROKE_OFF);
		}
		context.fireUserEventTriggered(event);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		failConnection((cause instanceof IOException) ? FailureReason.TARGET_BROKE_OFF : FailureReason.TARGET_GARBLED);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.reusable = false;
		this.connector.connectionClosed(this);
		failConnection(FailureReason.TARGET_BROKE_OFF);
	}

	private void handleResponse(HttpResponse response) {
		int status = response.status().code();
		HeaderNames names = this.home.headerNames();
		String echoedId = response.headers().get(names.requestId());
		boolean otherRequest = echoedId != null && !echoedId.equals(this.call.head().requestId());
		this.skippingResponse = otherRequest || status < FIRST_FINAL_STATUS;
		if (otherRequest) {
			this.connector.strayAnswer(echoedId, status, this.call.head().requestId());
			// More late responses may follow, so the connection is not reused.
			this.reusable = false;
		}
		if (this.skippingResponse) {
			countSkippedResponse();
			return;
		}
		this.reusable &= HttpUtil.isKeepAlive(response);
		this.idleTimeoutMillis = KeepAliveHeader
			.idleTimeoutMillis(response.headers().get("Keep-Alive"), DEFAULT_IDLE_TIMEOUT_SECONDS)
			.orElse(this.idleTimeoutMillis);
		boolean signed = response.headers().contains(names.signature());
		boolean notRun = response.headers().contains(names.notRun());
		// Without the identifier a refusal may be a late copy of one of an earlier
		// request.
		boolean attributable = echoedId != null || this.call.head().requestId().isEmpty();
		if (attributable && (notRun || (status == MISDIRECTED_REQUEST_STATUS && !signed))) {
			if (status == MISDIRECTED_REQUEST_STATUS) {
				this.home.recordActualTarget(response.headers().get(names.target(), ""));
			}
			else {
				recordStatement(response, false);
			}
			this.refusal = (status == MISDIRECTED_REQUEST_STATUS) ? FailureReason.WRONG_TARGET
					: FailureReason.TARGET_REFUSED;
			return;
		}
		boolean success = status < FIRST_NON_SUCCESS_STATUS;
		if (!signed || echoedId == null || (success && response.headers().contains(HttpHeaderNames.CONTENT_ENCODING))) {
			failConnection(FailureReason.TARGET_GARBLED);
			return;
		}
		this.responseStarted = true;
		recordStatement(response, true);
		ReplyHead reply = new ReplyHead(status, Headers.forwarded(response.headers(), Set.of()),
				Headers.bodyLength(response, CallHead.CHUNKED), (int) (this.home.now() - this.call.claimedAtMillis()),
				this.home.reportedLoad());
		this.succeeded = !reply.isServerError();
		this.call.replied(reply);
	}

	private void countSkippedResponse() {
		this.skippedResponses++;
		if (this.skippedResponses > MAX_SKIPPED_RESPONSES) {
			failConnection(FailureReason.TARGET_GARBLED);
		}
	}

	private void recordStatement(HttpResponse response, boolean served) {
		StatementReader reader = new StatementReader(this.home.headerNames());
		this.home.condition().record(reader.read(response.headers()::get, served), this.call.claimedAtMillis());
	}

	private void handleContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (last && !this.channel.isActive()) {
			failConnection(FailureReason.TARGET_BROKE_OFF);
			return;
		}
		if (this.skippingResponse) {
			if (!mayDrop(MAX_SKIPPED_BYTES)) {
				failConnection(FailureReason.TARGET_GARBLED);
			}
			return;
		}
		if (this.refusal != null) {
			this.reusable &= mayDrop(MAX_REFUSAL_BYTES);
			if (last || !this.reusable) {
				completeRefusal();
			}
			return;
		}
		this.responseCreditBytes -= content.content().readableBytes();
		if (this.responseCreditBytes <= 0) {
			this.channel.config().setAutoRead(false);
		}
		if (this.collector.add(content.content()) || last) {
			passOn(last);
		}
	}

	private void passOn(boolean last) {
		byte[] bytes = this.collector.takeParts();
		HomeCall current = this.call;
		if (last) {
			endCall(current);
		}
		current.responseData(bytes, last);
		this.collector.takeReceivedBytes();
		if (last) {
			this.home.responseCompleted(current, this.succeeded);
		}
	}

	/**
	 * Counts the bytes of a part that is dropped, with those that frame it.
	 * @return false if they exceed the maximum
	 */
	private boolean mayDrop(long maxBytes) {
		this.skippedBytes += this.collector.takeReceivedBytes();
		return this.skippedBytes <= maxBytes;
	}

	/**
	 * Drops a part of a response that nobody waits for.
	 * @param bytes length of the part in bytes
	 * @return false if the response is longer than can be awaited
	 */
	boolean drop(int bytes) {
		credit(bytes);
		return mayDrop(MAX_SKIPPED_BYTES);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.call != null && !this.collector.isEmpty()) {
			passOn(false);
		}
		if (this.refusal != null && this.call != null) {
			HomeCall refused = this.call;
			context.executor().schedule(() -> abandonRefusalBody(refused), REFUSAL_BODY_MILLIS, TimeUnit.MILLISECONDS);
		}
		context.fireChannelReadComplete();
	}

	private void abandonRefusalBody(HomeCall refused) {
		if (this.call == refused && this.refusal != null) {
			this.reusable = false;
			completeRefusal();
		}
	}

	private void completeRefusal() {
		HomeCall current = this.call;
		FailureReason reason = this.refusal;
		endCall(current);
		this.home.failed(current, reason, false);
	}

	private void endCall(HomeCall current) {
		this.call = null;
		// After an early response, part of the request body may still be unsent.
		boolean requestSent = this.bodyEnded && current.isBodyComplete();
		if (!this.reusable || !requestSent || !this.channel.isActive()) {
			abort();
			return;
		}
		this.channel.config().setAutoRead(true);
		release();
	}

	private void failConnection(FailureReason reason) {
		HomeCall current = this.call;
		this.call = null;
		this.reusable = false;
		this.channel.close();
		if (current == null || current.isEnded()) {
			return;
		}
		if (reason == FailureReason.TARGET_BROKE_OFF) {
			this.connector.connectionClosed(this);
			this.connector.callBroken(current);
			return;
		}
		this.home.failed(current, reason, true);
	}

}
