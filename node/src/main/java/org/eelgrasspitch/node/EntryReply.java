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
	 * @param outcome outcome, adjusted to what the entry node knows of all attempts; may
	 * be {@link CallOutcome.Late}
	 * @param ticket ticket with which the outcome can be queried; empty for an idempotent
	 * request and for a request that was refused before an {@link EntryCall} started
	 * @param revision revision of the configuration text with which the request was
	 * handled; 0 if it was refused before the first text
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
