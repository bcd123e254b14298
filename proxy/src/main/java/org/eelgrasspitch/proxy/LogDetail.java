package org.eelgrasspitch.proxy;

import org.eelgrasspitch.misc.EnumNames;

/**
 * How much is logged about requests. Changes of belief, starts and stops are always
 * logged.
 */
public enum LogDetail {

	/** Nothing. */
	OFF,

	/** Requests that did not go well, and a sample of the others. */
	DEFAULT,

	/** Every request, without a bound but that of the buffer. */
	FULL;

	@Override
	public String toString() {
		return EnumNames.lowerCase(this);
	}

}
