package org.eelgrasspitch.proxy;

import org.eelgrasspitch.misc.EnumNames;

/**
 * How much is logged about requests. Events about the node are logged at every level of
 * detail, within the rate limit of each event.
 */
public enum LogDetail {

	/** Nothing. */
	OFF,

	/**
	 * Refused, failed, cancelled, retried and late requests, those with a server error
	 * response, and a sample of the others.
	 */
	DEFAULT,

	/** Every request, limited only by the capacity of the log buffer. */
	FULL;

	@Override
	public String toString() {
		return EnumNames.lowerCase(this);
	}

}
