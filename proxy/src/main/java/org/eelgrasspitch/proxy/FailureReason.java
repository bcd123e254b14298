package org.eelgrasspitch.proxy;

import org.eelgrasspitch.misc.EnumNames;

/**
 * Why a home did not deliver an answer.
 */
enum FailureReason {

	/** It would not have been served in time. */
	OVERLOADED,

	/** Its home, or its target, is about to stop. */
	LEAVING,

	/** Nothing listens at the target's address. */
	TARGET_DOWN,

	/** The target said that it did not run the request. */
	TARGET_REFUSED,

	/** Another target has the address now. */
	WRONG_TARGET,

	/** The target ended the connection before the answer was complete. */
	TARGET_BROKE_OFF,

	/** The target broke off and takes no connections any more. */
	TARGET_CRASHED,

	/** The target sent something that is not its answer to this request. */
	TARGET_GARBLED,

	/** No link to the home is open. */
	LINK_DOWN,

	/** The link was lost while the call was in progress. */
	LINK_LOST,

	/** The target had not answered long after the call's deadline. */
	TARGET_SILENT;

	private final String loggedName = EnumNames.lowerCase(this);

	String loggedName() {
		return this.loggedName;
	}

}
