package org.eelgrasspitch.node;

import java.io.ByteArrayInputStream;
import java.nio.channels.Channels;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.jooby.Context;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import org.eelgrasspitch.misc.EnumNames;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Header;
import org.eelgrasspitch.request.Ticket;

/**
 * Writes outcomes as HTTP responses. A refusal, an unknown outcome and a late reply carry
 * the headers {@code Request-Ran} ({@code no}, {@code unknown} or {@code running}) and
 * {@code Request-Resend}; a refusal and a late reply also carry {@code Retry-After}. The
 * JSON body of these responses repeats the same information. A response of the target
 * carries {@code Request-Ran: yes}. Every method calls {@code written} once the response
 * has been written to the connection, or cannot be.
 */
final class HttpResponses {

	private static final int OK = 200;

	private static final int ACCEPTED = 202;

	private static final int BAD_REQUEST = 400;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int GATEWAY_TIMEOUT = 504;

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final ObjectMapper MAPPER = new ObjectMapper().registerModule(new Jdk8Module())
		.setDefaultPropertyInclusion(JsonInclude.Include.NON_EMPTY);

	private HttpResponses() {
	}

	static void send(Context context, String requestId, EntryReply reply, Runnable written) {
		context.setResponseHeader(CallerRequestParser.REQUEST_ID_HEADER, requestId);
		switch (reply) {
			case EntryReply.WithOutcome withOutcome -> {
				context.setResponseHeader(CallerRequestParser.VERSION_HEADER, Long.toString(withOutcome.revision()));
				send(context, withOutcome.outcome(), withOutcome.ticket(), written);
			}
			case EntryReply.Invalid invalid -> sendProblem(context, invalid.status(), invalid.problem(), written);
		}
	}

	static void send(Context context, CallOutcome outcome, Optional<Ticket> ticket, Runnable written) {
		ticket.ifPresent((issued) -> context.setResponseHeader("Location", outcomePath(issued)));
		switch (outcome) {
			case CallOutcome.Answered answered -> sendTargetResponse(context, answered, written);
			case CallOutcome.NotRun notRun -> {
				setRetryAfter(context, notRun.retryAfterMillis());
				sendNonTargetResponse(context, SERVICE_UNAVAILABLE,
						new NonTargetResponse(EnumNames.lowerCase(notRun.reason()), "no", true,
								notRun.retryAfterMillis(), Optional.empty()),
						written);
			}
			case CallOutcome.Unknown unknown -> sendNonTargetResponse(context, GATEWAY_TIMEOUT,
					new NonTargetResponse(EnumNames.lowerCase(unknown.reason()), "unknown", false, 0,
							ticket.map(HttpResponses::outcomePath)),
					written);
			case CallOutcome.Late late -> {
				setRetryAfter(context, late.askAfterMillis());
				sendNonTargetResponse(context, ACCEPTED, new NonTargetResponse("late", "running", false,
						late.askAfterMillis(), ticket.map(HttpResponses::outcomePath)), written);
			}
		}
	}

	static void sendProblem(Context context, Problem problem, Runnable written) {
		sendProblem(context, BAD_REQUEST, problem, written);
	}

	static void sendProblem(Context context, int status, Problem problem, Runnable written) {
		sendJson(context, status, new InvalidRequest(problem.type().code(), problem.message(), "no"), written);
	}

	static void sendTickets(Context context, CallMessage.Tickets tickets, Runnable written) {
		if (tickets.refusal().isPresent()) {
			send(context, new CallOutcome.NotRun(tickets.refusal().get(), MILLIS_PER_SECOND), Optional.empty(),
					written);
			return;
		}
		sendJson(context, OK, new TicketList(tickets.tickets().stream().map(Ticket::encoded).toList()), written);
	}

	static void sendJson(Context context, int status, Object body, Runnable written) {
		try {
			context.setResponseCode(StatusCode.valueOf(status));
			context.setResponseType(MediaType.json);
			write(context, MAPPER.writeValueAsBytes(body), written);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("response body cannot be written as JSON", ex);
		}
	}

	private static void sendTargetResponse(Context context, CallOutcome.Answered answered, Runnable written) {
		context.setResponseCode(StatusCode.valueOf(answered.status()));
		for (Header header : answered.headers()) {
			context.setResponseHeader(header.name(), header.value());
		}
		context.setResponseHeader("Request-Ran", "yes");
		write(context, answered.body(), written);
	}

	/**
	 * Writes a body as a channel, because the HTTP library reports only for a stream when
	 * its last byte has been written, by closing it. To an input stream it would also
	 * apply the caller's {@code Range}.
	 */
	private static void write(Context context, byte[] content, Runnable written) {
		context.setResponseLength(content.length);
		try {
			context.send(Channels.newChannel(new ByteArrayInputStream(content) {
				@Override
				public void close() {
					written.run();
				}
			}));
		}
		catch (IllegalStateException | IllegalArgumentException ex) {
			// The connection has ended, or two responses on it begin at once.
			context.send(content);
			written.run();
		}
	}

	private static void sendNonTargetResponse(Context context, int status, NonTargetResponse response,
			Runnable written) {
		context.setResponseHeader("Request-Ran", response.ran());
		context.setResponseHeader("Request-Resend", response.resend() ? "yes" : "no");
		sendJson(context, status, response, written);
	}

	private static void setRetryAfter(Context context, long millis) {
		long seconds = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
		context.setResponseHeader("Retry-After", Long.toString(seconds));
	}

	private static String outcomePath(Ticket ticket) {
		return "/-/outcomes/" + ticket.encoded();
	}

	/**
	 * Body of a response that does not come from the target.
	 *
	 * @param reason why there is no response of the target
	 * @param ran whether the request ran: {@code no}, {@code unknown} or {@code running}
	 * @param resend whether the caller should send it again
	 * @param retryAfterMillis delay before the next resend or outcome query, in
	 * milliseconds; 0 if none is needed, if a resend cannot succeed, and for an unknown
	 * outcome
	 * @param outcome path at which the final outcome can be queried; empty if there is
	 * none
	 */
	record NonTargetResponse(String reason, String ran, boolean resend, long retryAfterMillis,
			Optional<String> outcome) {

	}

	/**
	 * Body of a response to an invalid request.
	 *
	 * @param code error code
	 * @param error error message
	 * @param ran always {@code no}
	 */
	record InvalidRequest(int code, String error, String ran) {

	}

	/**
	 * Body of a response with tickets.
	 *
	 * @param tickets the tickets in encoded form
	 */
	record TicketList(List<String> tickets) {

	}

}
