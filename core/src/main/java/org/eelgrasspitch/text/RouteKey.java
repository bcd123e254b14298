package org.eelgrasspitch.text;

/**
 * Names an operation as callers do.
 *
 * @param service the service's name
 * @param operation the operation's name
 */
public record RouteKey(String service, String operation) {

	@Override
	public String toString() {
		return this.service + "/" + this.operation;
	}

}
