package org.eelgrasspitch.proxy;

import java.util.Optional;

/**
 * Relations between identifiers of requests. A target that makes a call while it runs a
 * request names the call after the request: the request's identifier, a separator and a
 * part of its own. Nothing that matters is decided by that alone; see
 * {@link HomeService#isRunning(String)}.
 */
final class RequestIds {

	private static final char SEPARATOR = '.';

	private RequestIds() {
	}

	/**
	 * Returns the request for which a call is made.
	 * @param id identifier of a request or a call
	 * @return the identifier of the request, or empty when this is no call's
	 */
	static Optional<String> parent(String id) {
		int end = id.lastIndexOf(SEPARATOR);
		return (end > 0) ? Optional.of(id.substring(0, end)) : Optional.empty();
	}

	/**
	 * Returns the caller's request to which a call belongs, through any number of calls.
	 * @param id identifier of a request or a call
	 * @return the identifier of the caller's request
	 */
	static String root(String id) {
		int end = id.indexOf(SEPARATOR);
		return (end > 0) ? id.substring(0, end) : id;
	}

}
