package org.eelgrasspitch.text;

/**
 * Identifies an operation by the names in the request path.
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
