package org.eelgrasspitch.proxy;

import org.eelgrasspitch.misc.EnumNames;

/**
 * Why a home did not deliver a response. Links transmit the ordinal of a constant, so new
 * constants are appended.
 */
enum FailureReason {

	/** It could not have been served in time. */
	OVERLOADED,

	/** Its home or its target is about to stop. */
	LEAVING,

	/** The home cannot connect to the target. */
	TARGET_DOWN,

	/** The target reported that it did not run the request. */
	TARGET_REFUSED,

	/** Another target has the address now. */
	WRONG_TARGET,

	/**
	 * The target closed the connection before the response was complete. The entry node
	 * also uses it for a server error (status 500 and above) that it replaces by another
	 * attempt.
	 */
	TARGET_BROKE_OFF,

	/** The target closed the connection during a call and accepts no new ones. */
	TARGET_CRASHED,

	/** The target sent something that is not a valid response to this request. */
	TARGET_GARBLED,

	/**
	 * No link to the home is open, or it is silent; see {@link Link#isUsable()}.
	 */
	LINK_DOWN,

	/** The link was lost while the call was in progress. */
	LINK_LOST,

	/** The target had not responded long after the deadline of the call. */
	TARGET_SILENT,

	/**
	 * The calls that the target would make while it runs this retried request are not
	 * covered by the retry budget.
	 */
	RETRY_BUDGET,

	/** The request crashes targets. */
	QUARANTINED;

	private final String loggedName = EnumNames.lowerCase(this);

	String loggedName() {
		return this.loggedName;
	}

}
