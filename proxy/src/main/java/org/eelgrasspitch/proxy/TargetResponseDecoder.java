package org.eelgrasspitch.proxy;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.eelgrasspitch.request.StatusLines;

/**
 * Decodes the responses of a target.
 * <p>
 * Bytes that arrive while no call is in progress belong to none. If they are the
 * beginning of a response, such as half a copy of the last one, they would be read as one
 * head with the response to the next call. They are therefore reported as soon as they
 * arrive, as {@link #STRAY_BYTES}, not when they form a response. Line ends between two
 * responses are ignored.
 * <p>
 * The beginning of a copy may also arrive while a call is in progress. A response with a
 * head that holds a status line ({@link StatusLines}) counts as malformed.
 * <p>
 * Not thread-safe; must be used on the event loop.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {

	/** Passed on in place of bytes that arrive between two calls. */
	static final Object STRAY_BYTES = new Object();

	private static final int MAX_INITIAL_LINE_BYTES = 16_384;

	private static final int MAX_HEADER_BYTES = 65_536;

	private static final int MAX_CHUNK_BYTES = 16_384;

	private final TargetConnection connection;

	TargetResponseDecoder(TargetConnection connection) {
		super(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
		this.connection = connection;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		boolean stray = this.connection.isIdle() && hasText(buffer);
		super.decode(context, buffer, out);
		if (stray && out.isEmpty()) {
			out.add(STRAY_BYTES);
		}
		out.forEach(TargetResponseDecoder::rejectJoinedHeads);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage response) {
		return this.connection.isHeadOnly() || super.isContentAlwaysEmpty(response);
	}

	private static void rejectJoinedHeads(Object part) {
		if (part instanceof HttpResponse response && isJoined(response)) {
			response.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("two responses in one head")));
		}
	}

	private static boolean isJoined(HttpResponse response) {
		return StatusLines.isIn(response.status().reasonPhrase())
				|| response.headers().entries().stream().anyMatch((header) -> StatusLines.isIn(header.getValue()));
	}

	private static boolean hasText(ByteBuf buffer) {
		return buffer.forEachByte((value) -> value == '\r' || value == '\n') >= 0;
	}

}
