package org.eelgrasspitch.node;

import java.util.Optional;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.vavr.control.Either;
import org.eelgrasspitch.misc.ErrorType;
import org.eelgrasspitch.misc.Position;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.request.Ticket;
import org.eelgrasspitch.text.RouteKey;

/**
 * HTTP interface for callers. {@code GET} or {@code POST} on
 * {@code /{service}/{operation}} runs an operation. {@code POST} on
 * {@code /-/tickets/{service}/{operation}} issues as many tickets as the query parameter
 * {@code count} says, 1 if it is absent or not a number of 1 to 3 digits; the home issues
 * at least 1 and at most 100. {@code GET} on {@code /-/outcomes/{ticket}} returns the
 * outcome of an at-most-once request. No handler blocks its event loop thread. Each
 * request is an item of accepted work until its response has been written.
 */
final class CallerHttpApi {

	private static final int DEFAULT_TICKET_COUNT = 1;

	private CallerHttpApi() {
	}

	/**
	 * Creates the application.
	 * @param entry handles the requests
	 * @return the application, not started
	 */
	static Jooby create(EntryService entry) {
		Jooby app = new Jooby();
		app.setExecutionMode(ExecutionMode.EVENT_LOOP);
		app.post("/-/tickets/{service}/{operation}", (context) -> tickets(entry, context));
		app.get("/-/outcomes/{ticket}", (context) -> outcome(entry, context));
		app.post("/{service}/{operation}", (context) -> request(entry, context));
		app.get("/{service}/{operation}", (context) -> request(entry, context));
		return app;
	}

	private static Object request(EntryService entry, Context context) throws Exception {
		Either<Problem, CallerRequest> parsed = CallerRequestParser.parse(context);
		AcceptedWork.Item item = entry.context().work().begin();
		if (parsed.isLeft()) {
			HttpResponses.sendProblem(context, parsed.getLeft(), item::end);
			return context;
		}
		CallerRequest request = parsed.get();
		CallerDeparture departure = CallerDeparture.ofCurrentRequest();
		return context.detach((detached) -> {
			Runnable abandon = entry.handle(request, item, (reply) -> {
				departure.end();
				HttpResponses.send(context, request.requestId(), reply, item::end);
			});
			departure.onDeparture(abandon);
			return context;
		});
	}

	private static Object tickets(EntryService entry, Context context) throws Exception {
		RouteKey route = new RouteKey(context.path("service").value(), context.path("operation").value());
		int count = context.query("count")
			.toOptional()
			.filter((text) -> text.matches("\\d{1,3}"))
			.map(Integer::valueOf)
			.orElse(DEFAULT_TICKET_COUNT);
		AcceptedWork.Item item = entry.context().work().begin();
		return context.detach((detached) -> {
			entry.tickets(route, count, item, (tickets) -> HttpResponses.sendTickets(context, tickets, item::end));
			return context;
		});
	}

	private static Object outcome(EntryService entry, Context context) throws Exception {
		String encodedTicket = context.path("ticket").value();
		Optional<Ticket> ticket = Ticket.parse(encodedTicket);
		AcceptedWork.Item item = entry.context().work().begin();
		if (ticket.isEmpty()) {
			HttpResponses.sendProblem(context, Problem.of(ErrorType.BAD_TICKET, Position.UNKNOWN, "outcome path"),
					item::end);
			return context;
		}
		return context.detach((detached) -> {
			entry.outcome(ticket.get(), item, (outcome) -> HttpResponses.send(context, outcome, ticket, item::end));
			return context;
		});
	}

}
