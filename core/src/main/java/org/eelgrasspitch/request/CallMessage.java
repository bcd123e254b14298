package org.eelgrasspitch.request;

import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.text.RouteKey;

/**
 * Messages between nodes about requests. Each carries the number of its call, which is
 * never used twice on one connection, so that a late reply meets no other call.
 */
public sealed interface CallMessage {

	/**
	 * Returns the number of the call.
	 * @return a number that is unique on its connection
	 */
	long call();

	/**
	 * Passes a request to the node of its target.
	 *
	 * @param call number of the call
	 * @param requestId the request's identifier, for logs and for the target
	 * @param route the operation asked for
	 * @param remainingMillis time left until the deadline, in milliseconds
	 * @param ticket the ticket of an at-most-once request; empty for others
	 * @param fingerprint recognises the request when it is sent again; empty when nothing
	 * in it can
	 * @param headers headers for the target
	 * @param body the body; not modified after construction
	 * @param revision revision of the text that the sender used
	 */
	record Request(long call, String requestId, RouteKey route, int remainingMillis, Optional<Ticket> ticket,
			Optional<Digest> fingerprint, List<Header> headers, byte[] body, long revision) implements CallMessage {

	}

	/**
	 * Answers a {@link Request} or an {@link OutcomeQuery}.
	 *
	 * @param call number of the call
	 * @param outcome what became of the request
	 * @param revision revision of the text that the sender holds
	 */
	record Reply(long call, CallOutcome outcome, long revision) implements CallMessage {

	}

	/**
	 * Says that nobody waits for a call any more.
	 *
	 * @param call number of the call
	 */
	record Cancel(long call) implements CallMessage {

	}

	/**
	 * Asks the node of a target for tickets.
	 *
	 * @param call number of the call
	 * @param route the operation
	 * @param count number of tickets wanted
	 */
	record TicketQuery(long call, RouteKey route, int count) implements CallMessage {

	}

	/**
	 * Answers a {@link TicketQuery}.
	 *
	 * @param call number of the call
	 * @param tickets the tickets; empty when refused
	 * @param refusal why there are none; empty when there are some
	 */
	record Tickets(long call, List<Ticket> tickets, Optional<Reason> refusal) implements CallMessage {

	}

	/**
	 * Asks the node that issued a ticket what became of its request.
	 *
	 * @param call number of the call
	 * @param ticket the ticket
	 */
	record OutcomeQuery(long call, Ticket ticket) implements CallMessage {

	}

	/**
	 * Reports that a target died while it ran a request.
	 *
	 * @param call number of the call
	 * @param fingerprint the request's fingerprint
	 * @param target name of the target's VM
	 */
	record DeathNotice(long call, Digest fingerprint, String target) implements CallMessage {

	}

	/**
	 * Acknowledges a {@link DeathNotice}.
	 *
	 * @param call number of the call
	 */
	record DeathNoticeAck(long call) implements CallMessage {

	}

}
