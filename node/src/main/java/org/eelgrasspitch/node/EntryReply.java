package org.eelgrasspitch.node;

import java.util.Optional;

import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Ticket;

/**
 * Reply of the entry node to a caller.
 */
sealed interface EntryReply {

	/**
	 * Outcome of the request.
	 *
	 * @param outcome the outcome
	 * @param ticket ticket with which the outcome can be queried; empty for a request
	 * without a ticket
	 * @param revision revision of the configuration text with which the request was
	 * handled
	 */
	record WithOutcome(CallOutcome outcome, Optional<Ticket> ticket, long revision) implements EntryReply {

	}

	/**
	 * The request is invalid and has not run.
	 *
	 * @param status HTTP status
	 * @param problem the reason
	 */
	record Invalid(int status, Problem problem) implements EntryReply {

	}

}
