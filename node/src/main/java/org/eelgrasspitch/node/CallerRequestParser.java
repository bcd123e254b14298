package org.eelgrasspitch.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.regex.Pattern;

import io.jooby.Context;
import io.vavr.control.Either;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.misc.ErrorType;
import org.eelgrasspitch.misc.Position;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.request.Header;
import org.eelgrasspitch.request.Ticket;
import org.eelgrasspitch.text.RouteKey;

/**
 * Parses callers' HTTP requests and validates every header that has a meaning in this
 * protocol.
 */
final class CallerRequestParser {

	/** Ticket of an at-most-once request. */
	static final String TICKET_HEADER = "Request-Ticket";

	/** The caller's identifier of a request. */
	static final String REQUEST_ID_HEADER = "Request-Id";

	/** Number of times that the caller has sent the request, including this one. */
	static final String ATTEMPT_HEADER = "Request-Attempt";

	/** Maximum time that the caller waits, in milliseconds. */
	static final String TIMEOUT_HEADER = "Request-Timeout-Millis";

	/**
	 * In a response, the revision of the configuration text with which the request was
	 * handled; in a request, a revision that the caller knows to be in force.
	 */
	static final String VERSION_HEADER = "Config-Version";

	private static final Pattern ID_PATTERN = Pattern.compile("[!-~]{1,128}");

	private static final int MAX_FORWARDED_HEADERS = 64;

	/**
	 * Headers with longer values, and headers beyond {@link #MAX_FORWARDED_HEADERS}, are
	 * not forwarded.
	 */
	private static final int MAX_FORWARDED_VALUE_CHARS = 8_192;

	private static final int MAX_ATTEMPT = 1_000_000;

	private static final int MAX_TIMEOUT_MILLIS = 600_000;

	private static final Set<String> NOT_FORWARDED_HEADERS = Set.of("connection", "host", "content-length",
			"transfer-encoding", "keep-alive", "te", "upgrade", "expect", "accept-encoding", "request-ticket",
			"request-attempt", "request-timeout-millis", "request-id", "config-version", "request-deadline-millis");

	private CallerRequestParser() {
	}

	static Either<Problem, CallerRequest> parse(Context context) {
		RouteKey route = new RouteKey(context.path("service").value(), context.path("operation").value());
		String id = header(context, REQUEST_ID_HEADER).orElseGet(() -> UUID.randomUUID().toString());
		if (!ID_PATTERN.matcher(id).matches()) {
			return invalidHeader(REQUEST_ID_HEADER, id);
		}
		Optional<String> ticketText = header(context, TICKET_HEADER);
		Optional<Ticket> ticket = ticketText.flatMap(Ticket::parse);
		if (ticketText.isPresent() && ticket.isEmpty()) {
			return Either.left(Problem.of(ErrorType.BAD_TICKET, Position.UNKNOWN, abbreviated(ticketText.get())));
		}
		Either<Problem, Optional<Long>> timeout = number(context, TIMEOUT_HEADER, MAX_TIMEOUT_MILLIS);
		Either<Problem, Optional<Long>> attempt = number(context, ATTEMPT_HEADER, MAX_ATTEMPT);
		Either<Problem, Optional<Long>> version = number(context, VERSION_HEADER, Long.MAX_VALUE);
		for (Either<Problem, Optional<Long>> parsed : List.of(timeout, attempt, version)) {
			if (parsed.isLeft()) {
				return Either.left(parsed.getLeft());
			}
		}
		byte[] body = context.body().bytes();
		return Either.right(new CallerRequest(id, route, timeout.get().map(Long::intValue), ticket,
				attempt.get().map((number) -> number == 1).orElse(false),
				fingerprint(route, header(context, REQUEST_ID_HEADER), body), version.get().orElse(0L),
				forwardedHeaders(context), body));
	}

	/**
	 * Computes a fingerprint from the caller's identifier or, without one, from the body.
	 * A request with neither gets no fingerprint, because it cannot be distinguished from
	 * other requests of the same operation.
	 */
	private static Optional<Digest> fingerprint(RouteKey route, Optional<String> id, byte[] body) {
		if (id.isEmpty() && body.length == 0) {
			return Optional.empty();
		}
		String text = route + "\n" + id.orElseGet(() -> Digest.of(body).hex());
		return Optional.of(Digest.of(text.getBytes(StandardCharsets.UTF_8)));
	}

	private static List<Header> forwardedHeaders(Context context) {
		List<Header> headers = new ArrayList<>();
		context.headerMap().forEach((name, value) -> {
			boolean withinLimits = value.length() <= MAX_FORWARDED_VALUE_CHARS
					&& headers.size() < MAX_FORWARDED_HEADERS;
			if (withinLimits && !NOT_FORWARDED_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
				headers.add(new Header(name, value));
			}
		});
		return headers;
	}

	private static Either<Problem, Optional<Long>> number(Context context, String name, long max) {
		Optional<String> numberText = header(context, name);
		if (numberText.isEmpty()) {
			return Either.right(Optional.empty());
		}
		try {
			long number = Long.parseLong(numberText.get());
			return (number >= 1 && number <= max) ? Either.right(Optional.of(number))
					: invalidHeader(name, numberText.get());
		}
		catch (NumberFormatException ex) {
			return invalidHeader(name, numberText.get());
		}
	}

	private static <T> Either<Problem, T> invalidHeader(String name, String value) {
		return Either.left(Problem.of(ErrorType.BAD_HEADER, Position.UNKNOWN, name, abbreviated(value)));
	}

	private static String abbreviated(String value) {
		return (value.length() <= 64) ? value : value.substring(0, 64) + "...";
	}

	private static Optional<String> header(Context context, String name) {
		return context.header(name).toOptional();
	}

}
