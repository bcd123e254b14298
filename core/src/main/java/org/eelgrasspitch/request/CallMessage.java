package org.eelgrasspitch.request;

import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.text.RouteKey;

/**
 * Messages between nodes about requests. Each carries a call number, which correlates a
 * reply with its call. A number is never reused on a connection, so a late reply cannot
 * be matched to another call.
 */
public sealed interface CallMessage {

	/**
	 * Returns the number of the call.
	 * @return the number, unique on its connection
	 */
	long call();

	/**
	 * Forwards a request to the node of its target.
	 *
	 * @param call number of the call
	 * @param requestId the request's identifier, for logs and for the target
	 * @param route the operation to run
	 * @param remainingMillis time left until the deadline, in milliseconds
	 * @param ticket the ticket of an at-most-once request; empty for an idempotent one
	 * @param fingerprint identifies the request across resends; empty if the request has
	 * nothing to identify it by
	 * @param headers headers to pass to the target; may be empty
	 * @param body the whole body; must not be modified after construction
	 * @param revision revision of the configuration text that the sender used
	 */
	record Request(long call, String requestId, RouteKey route, int remainingMillis, Optional<Ticket> ticket,
			Optional<Digest> fingerprint, List<Header> headers, byte[] body, long revision) implements CallMessage {

	}

	/**
	 * Answers a {@link Request} or an {@link OutcomeQuery}.
	 *
	 * @param call number of the call
	 * @param outcome outcome of the request
	 * @param revision revision of the configuration text that the sender holds
	 */
	record Reply(long call, CallOutcome outcome, long revision) implements CallMessage {

	}

	/**
	 * Cancels a call: its sender no longer waits for the reply.
	 *
	 * @param call number of the call
	 */
	record Cancel(long call) implements CallMessage {

	}

	/**
	 * Requests tickets from the node of a target.
	 *
	 * @param call number of the call
	 * @param route the operation
	 * @param count number of tickets requested
	 */
	record TicketQuery(long call, RouteKey route, int count) implements CallMessage {

	}

	/**
	 * Answers a {@link TicketQuery}.
	 *
	 * @param call number of the call
	 * @param tickets the tickets; empty if refused
	 * @param refusal the reason of a refusal; empty if tickets were issued
	 */
	record Tickets(long call, List<Ticket> tickets, Optional<Reason> refusal) implements CallMessage {

	}

	/**
	 * Asks the node that issued a ticket for the outcome of its request.
	 *
	 * @param call number of the call
	 * @param ticket the ticket
	 */
	record OutcomeQuery(long call, Ticket ticket) implements CallMessage {

	}

	/**
	 * Reports to the other nodes of a service that a target died while it ran a request.
	 *
	 * @param call number of the call
	 * @param fingerprint fingerprint of the request
	 * @param target name of the target's VM
	 */
	record DeathNotice(long call, Digest fingerprint, String target) implements CallMessage {

	}

	/**
	 * Acknowledges a {@link DeathNotice} and tells which deaths the sender knows, since
	 * the receiver may have started after them.
	 *
	 * @param call number of the call
	 * @param targets names of the VMs whose targets died while they ran the request; may
	 * be empty
	 */
	record DeathNoticeAck(long call, List<String> targets) implements CallMessage {

	}

}
