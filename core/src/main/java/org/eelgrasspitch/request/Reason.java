package org.eelgrasspitch.request;

/**
 * Reason why a request was not answered. The name in lower case is written to callers,
 * logs and metrics. Nodes exchange the ordinal, so append new constants at the end.
 */
public enum Reason {

	/** The node has no configuration yet. */
	NOT_READY,

	/** The configuration does not define the operation. */
	NO_ROUTE,

	/** No target of the service is available. */
	NO_TARGET,

	/** The node or the target is shutting down and accepts no new requests. */
	LEAVING,

	/**
	 * The request was refused before it started: the queue of the target is full, or the
	 * table of at-most-once requests has reached its capacity.
	 */
	OVERLOADED,

	/** The caller's deadline passed. */
	DEADLINE_PASSED,

	/** No attempt has started the request so far. */
	NOT_STARTED,

	/**
	 * The request was cancelled, or its deadline passed while it ran on the target and
	 * before the target began to respond.
	 */
	CANCELLED,

	/**
	 * The node that runs the request or issued its ticket could not be reached or did not
	 * reply in time, or the connection to it was lost before the reply.
	 */
	HOME_UNREACHABLE,

	/** The ticket was issued by an earlier process of the node. */
	HOME_RESTARTED,

	/** The ticket has expired and can no longer start a request. */
	TICKET_EXPIRED,

	/** The ticket is missing, or was already used for a different request. */
	TICKET_MISUSED,

	/** No connection to the target could be established. */
	TARGET_UNREACHABLE,

	/** The target refused the request before it started. */
	TARGET_REFUSED,

	/**
	 * The connection to the target was lost after the request was sent and before the
	 * complete response arrived, or connecting to the target timed out.
	 */
	ANSWER_LOST,

	/** The target's response exceeded the maximum length. */
	ANSWER_TOO_LONG,

	/**
	 * The request is quarantined because targets died while they ran it; see
	 * {@link Quarantine}.
	 */
	QUARANTINED

}
