package org.eelgrasspitch.wire;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Header;
import org.eelgrasspitch.request.Reason;
import org.eelgrasspitch.request.Ticket;
import org.eelgrasspitch.text.RouteKey;
import org.eelgrasspitch.wire.generated.WireCancel;
import org.eelgrasspitch.wire.generated.WireDeathNotice;
import org.eelgrasspitch.wire.generated.WireHeader;
import org.eelgrasspitch.wire.generated.WireMessage;
import org.eelgrasspitch.wire.generated.WireNoted;
import org.eelgrasspitch.wire.generated.WireOutcomeQuery;
import org.eelgrasspitch.wire.generated.WireReply;
import org.eelgrasspitch.wire.generated.WireRequest;
import org.eelgrasspitch.wire.generated.WireTicketQuery;
import org.eelgrasspitch.wire.generated.WireTickets;

/**
 * Converts {@link CallMessage}s to and from Thrift structures. Reasons are sent as
 * ordinals, so the order of the constants of {@link Reason} is part of the wire format.
 */
final class CallCodec {

	/** Outcome code of {@link CallOutcome.Answered}. */
	private static final int ANSWERED = 0;

	/** Outcome code of {@link CallOutcome.NotRun}. */
	private static final int NOT_RUN = 1;

	/** Outcome code of {@link CallOutcome.Unknown}. */
	private static final int UNKNOWN = 2;

	/** Outcome code of {@link CallOutcome.Late}. */
	private static final int LATE = 3;

	/** Lowest HTTP status of a final response; 1xx statuses are interim responses. */
	private static final int MIN_STATUS = 200;

	/** Highest HTTP status of a defined class. */
	private static final int MAX_STATUS = 599;

	WireMessage encode(CallMessage message) {
		return switch (message) {
			case CallMessage.Request request -> WireMessage.request(encode(request));
			case CallMessage.Reply reply -> WireMessage.reply(encode(reply));
			case CallMessage.Cancel cancel -> WireMessage.cancel(new WireCancel(cancel.call()));
			case CallMessage.TicketQuery query -> WireMessage.ticketQuery(new WireTicketQuery(query.call(),
					query.route().service(), query.route().operation(), query.count()));
			case CallMessage.Tickets tickets -> WireMessage.tickets(encode(tickets));
			case CallMessage.OutcomeQuery query ->
				WireMessage.outcomeQuery(new WireOutcomeQuery(query.call(), query.ticket().encoded()));
			case CallMessage.DeathNotice notice -> WireMessage.deathNotice(
					new WireDeathNotice(notice.call(), ByteBuffer.wrap(notice.fingerprint().bytes()), notice.target()));
			case CallMessage.DeathNoticeAck noted ->
				WireMessage.noted(new WireNoted(noted.call()).setTargets(noted.targets()));
		};
	}

	CallMessage decode(WireMessage message) throws MalformedFrameException {
		return switch (message.getSetField()) {
			case REQUEST -> decodeRequest(message.getRequest());
			case REPLY -> decodeReply(message.getReply());
			case CANCEL -> new CallMessage.Cancel(message.getCancel().getCall());
			case TICKET_QUERY -> decodeTicketQuery(message.getTicketQuery());
			case TICKETS -> decodeTickets(message.getTickets());
			case OUTCOME_QUERY -> new CallMessage.OutcomeQuery(message.getOutcomeQuery().getCall(),
					decodeTicket(message.getOutcomeQuery().getTicket()));
			case DEATH_NOTICE -> new CallMessage.DeathNotice(message.getDeathNotice().getCall(),
					FrameCodec.decodeDigest(message.getDeathNotice().getFingerprint()),
					message.getDeathNotice().getTarget());
			case NOTED -> new CallMessage.DeathNoticeAck(message.getNoted().getCall(),
					message.getNoted().isSetTargets() ? message.getNoted().getTargets() : List.of());
			default -> throw new MalformedFrameException("not a request message: " + message.getSetField());
		};
	}

	private static WireRequest encode(CallMessage.Request request) {
		WireRequest struct = new WireRequest(request.call(), request.requestId(), request.route().service(),
				request.route().operation(), request.remainingMillis(), encode(request.headers()),
				ByteBuffer.wrap(request.body()), request.revision());
		request.ticket().ifPresent((ticket) -> struct.setTicket(ticket.encoded()));
		request.fingerprint().ifPresent((fingerprint) -> struct.setFingerprint(fingerprint.bytes()));
		return struct;
	}

	private static List<WireHeader> encode(List<Header> headers) {
		return headers.stream().map((header) -> new WireHeader(header.name(), header.value())).toList();
	}

	private static WireReply encode(CallMessage.Reply reply) {
		WireReply struct = new WireReply().setCall(reply.call()).setRevision(reply.revision());
		return switch (reply.outcome()) {
			case CallOutcome.Answered answered -> struct.setOutcome(ANSWERED)
				.setStatus(answered.status())
				.setHeaders(encode(answered.headers()))
				.setBody(answered.body());
			case CallOutcome.NotRun notRun -> struct.setOutcome(NOT_RUN)
				.setReason(notRun.reason().ordinal())
				.setAfterMillis(notRun.retryAfterMillis());
			case CallOutcome.Unknown unknown -> struct.setOutcome(UNKNOWN).setReason(unknown.reason().ordinal());
			case CallOutcome.Late late -> struct.setOutcome(LATE).setAfterMillis(late.askAfterMillis());
		};
	}

	private static WireTickets encode(CallMessage.Tickets tickets) {
		WireTickets struct = new WireTickets(tickets.call(), tickets.tickets().stream().map(Ticket::encoded).toList());
		tickets.refusal().ifPresent((reason) -> struct.setRefusal(reason.ordinal()));
		return struct;
	}

	private static CallMessage.Request decodeRequest(WireRequest request) throws MalformedFrameException {
		checkBody(request.getBody());
		Optional<Ticket> ticket = request.isSetTicket() ? Optional.of(decodeTicket(request.getTicket()))
				: Optional.empty();
		return new CallMessage.Request(request.getCall(), request.getRequestId(),
				new RouteKey(request.getServiceName(), request.getOperationName()), request.getRemainingMillis(),
				ticket, decodeFingerprint(request), decodeHeaders(request.getHeaders()), request.getBody(),
				request.getRevision());
	}

	private static Optional<Digest> decodeFingerprint(WireRequest request) throws MalformedFrameException {
		return request.isSetFingerprint() ? Optional.of(FrameCodec.decodeDigest(request.getFingerprint()))
				: Optional.empty();
	}

	private static CallMessage.Reply decodeReply(WireReply reply) throws MalformedFrameException {
		CallOutcome outcome = switch (reply.getOutcome()) {
			case ANSWERED -> decodeAnswered(reply);
			case NOT_RUN -> new CallOutcome.NotRun(decodeReason(reply.getReason()), reply.getAfterMillis());
			case UNKNOWN -> new CallOutcome.Unknown(decodeReason(reply.getReason()));
			case LATE -> new CallOutcome.Late(reply.getAfterMillis());
			default -> throw new MalformedFrameException("unknown outcome code " + reply.getOutcome());
		};
		return new CallMessage.Reply(reply.getCall(), outcome, reply.getRevision());
	}

	private static CallOutcome decodeAnswered(WireReply reply) throws MalformedFrameException {
		if (!reply.isSetBody() || !reply.isSetHeaders() || reply.getStatus() < MIN_STATUS
				|| reply.getStatus() > MAX_STATUS) {
			throw new MalformedFrameException("answered reply without headers, body or a valid status");
		}
		checkBody(reply.getBody());
		return new CallOutcome.Answered(reply.getStatus(), decodeHeaders(reply.getHeaders()), reply.getBody());
	}

	private static CallMessage.TicketQuery decodeTicketQuery(WireTicketQuery query) {
		return new CallMessage.TicketQuery(query.getCall(),
				new RouteKey(query.getServiceName(), query.getOperationName()), query.getCount());
	}

	private static CallMessage.Tickets decodeTickets(WireTickets tickets) throws MalformedFrameException {
		List<Ticket> parsed = new ArrayList<>();
		for (String encoded : tickets.getTickets()) {
			parsed.add(decodeTicket(encoded));
		}
		Optional<Reason> refusal = tickets.isSetRefusal() ? Optional.of(decodeReason(tickets.getRefusal()))
				: Optional.empty();
		return new CallMessage.Tickets(tickets.getCall(), parsed, refusal);
	}

	private static List<Header> decodeHeaders(List<WireHeader> headers) {
		return headers.stream().map((header) -> new Header(header.getName(), header.getValue())).toList();
	}

	private static Ticket decodeTicket(String encoded) throws MalformedFrameException {
		return Ticket.parse(encoded).orElseThrow(() -> new MalformedFrameException("invalid ticket"));
	}

	private static Reason decodeReason(int ordinal) throws MalformedFrameException {
		return FrameCodec.constantAt(Reason.values(), ordinal);
	}

	private static void checkBody(byte[] body) throws MalformedFrameException {
		if (body.length > WireLimits.MAX_BODY_BYTES) {
			throw new MalformedFrameException("body of " + body.length + " bytes exceeds the limit");
		}
	}

}
