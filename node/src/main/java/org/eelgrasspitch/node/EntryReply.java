package org.eelgrasspitch.node;

import java.util.Optional;

import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Ticket;

/**
 * What the entry node tells a caller.
 */
sealed interface EntryReply {

	/**
	 * What became of the request.
	 *
	 * @param outcome the outcome
	 * @param ticket where to ask again; empty for requests without a ticket
	 * @param revision revision of the text with which the request was handled
	 */
	record Completed(CallOutcome outcome, Optional<Ticket> ticket, long revision) implements EntryReply {

	}

	/**
	 * The request itself is wrong; it was not run.
	 *
	 * @param status HTTP status
	 * @param problem what is wrong
	 */
	record Invalid(int status, Problem problem) implements EntryReply {

	}

}
