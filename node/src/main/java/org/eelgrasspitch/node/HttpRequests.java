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
 * Reads callers' HTTP requests and checks every header that this system gives meaning to.
 */
final class HttpRequests {

	/** The ticket of an at-most-once request. */
	static final String TICKET = "Request-Ticket";

	/** The caller's identifier of a request. */
	static final String ID = "Request-Id";

	/** How many times the caller has sent the request, this time included. */
	static final String ATTEMPT = "Request-Attempt";

	/** How long the caller waits, in milliseconds. */
	static final String TIMEOUT = "Request-Timeout-Millis";

	/**
	 * Revision of the text that handled a request, in answers; known to be in force, in
	 * requests.
	 */
	static final String VERSION = "Config-Version";

	private static final Pattern ID_FORM = Pattern.compile("[!-~]{1,128}");

	private static final int MAX_HEADERS = 64;

	private static final int MAX_HEADER_CHARS = 8_192;

	private static final int MAX_ATTEMPT = 1_000_000;

	private static final int MAX_TIMEOUT_MILLIS = 600_000;

	private static final Set<String> OWN = Set.of("connection", "host", "content-length", "transfer-encoding",
			"keep-alive", "te", "upgrade", "expect", "accept-encoding", "request-ticket", "request-attempt",
			"request-timeout-millis", "request-id", "config-version", "request-deadline-millis");

	private HttpRequests() {
	}

	static Either<Problem, CallerRequest> read(Context context) {
		RouteKey route = new RouteKey(context.path("service").value(), context.path("operation").value());
		String id = header(context, ID).orElseGet(() -> UUID.randomUUID().toString());
		if (!ID_FORM.matcher(id).matches()) {
			return bad(ID, id);
		}
		Optional<String> written = header(context, TICKET);
		Optional<Ticket> ticket = written.flatMap(Ticket::parse);
		if (written.isPresent() && ticket.isEmpty()) {
			return Either.left(Problem.of(ErrorType.BAD_TICKET, Position.UNKNOWN, abbreviated(written.get())));
		}
		Either<Problem, Optional<Long>> timeout = number(context, TIMEOUT, MAX_TIMEOUT_MILLIS);
		Either<Problem, Optional<Long>> attempt = number(context, ATTEMPT, MAX_ATTEMPT);
		Either<Problem, Optional<Long>> version = number(context, VERSION, Long.MAX_VALUE);
		for (Either<Problem, Optional<Long>> parsed : List.of(timeout, attempt, version)) {
			if (parsed.isLeft()) {
				return Either.left(parsed.getLeft());
			}
		}
		byte[] body = context.body().bytes();
		return Either.right(new CallerRequest(id, route, timeout.get().map(Long::intValue), ticket,
				attempt.get().map((number) -> number == 1).orElse(false), fingerprint(route, header(context, ID), body),
				version.get().orElse(0L), passedOn(context), body));
	}

	/**
	 * Recognises a request by the caller's own identifier, or else by its body. A request
	 * with neither looks like any other of its operation, so it gets no fingerprint.
	 */
	private static Optional<Digest> fingerprint(RouteKey route, Optional<String> id, byte[] body) {
		if (id.isEmpty() && body.length == 0) {
			return Optional.empty();
		}
		String text = route + "\n" + id.orElseGet(() -> Digest.of(body).hex());
		return Optional.of(Digest.of(text.getBytes(StandardCharsets.UTF_8)));
	}

	private static List<Header> passedOn(Context context) {
		List<Header> headers = new ArrayList<>();
		context.headerMap().forEach((name, value) -> {
			boolean fits = value.length() <= MAX_HEADER_CHARS && headers.size() < MAX_HEADERS;
			if (fits && !OWN.contains(name.toLowerCase(Locale.ROOT))) {
				headers.add(new Header(name, value));
			}
		});
		return headers;
	}

	private static Either<Problem, Optional<Long>> number(Context context, String name, long max) {
		Optional<String> written = header(context, name);
		if (written.isEmpty()) {
			return Either.right(Optional.empty());
		}
		try {
			long number = Long.parseLong(written.get());
			return (number >= 1 && number <= max) ? Either.right(Optional.of(number)) : bad(name, written.get());
		}
		catch (NumberFormatException ex) {
			return bad(name, written.get());
		}
	}

	private static <T> Either<Problem, T> bad(String name, String value) {
		return Either.left(Problem.of(ErrorType.BAD_HEADER, Position.UNKNOWN, name, abbreviated(value)));
	}

	private static String abbreviated(String value) {
		return (value.length() <= 64) ? value : value.substring(0, 64) + "...";
	}

	private static Optional<String> header(Context context, String name) {
		return context.header(name).toOptional();
	}

}
