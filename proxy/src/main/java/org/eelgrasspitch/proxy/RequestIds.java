package org.eelgrasspitch.proxy;

import java.util.Optional;

/**
 * Structure of request identifiers. The identifier of a nested call, which a target makes
 * while it runs a request, consists of the identifier of that request, a separator and a
 * part chosen by the target. The identifier alone does not prove that a request is a
 * nested call, so admission and retry budgets do not rely on it:
 * {@link RunningCalls#contains(String)} and {@link RunningCalls#containsRetry(String)}
 * check that the parent is running. Only log sampling uses {@link #root(String)} without
 * this check.
 */
final class RequestIds {

	private static final char SEPARATOR = '.';

	private RequestIds() {
	}

	/**
	 * Returns the identifier of the parent request of a nested call.
	 * @param id identifier of a request or a nested call
	 * @return identifier of the parent, or empty if this is not the identifier of a
	 * nested call
	 */
	static Optional<String> parent(String id) {
		int end = id.lastIndexOf(SEPARATOR);
		return (end > 0) ? Optional.of(id.substring(0, end)) : Optional.empty();
	}

	/**
	 * Returns the identifier of the caller's request to which a nested call belongs, at
	 * any depth.
	 * @param id identifier of a request or a nested call
	 * @return identifier of the caller's request
	 */
	static String root(String id) {
		int end = id.indexOf(SEPARATOR);
		return (end > 0) ? id.substring(0, end) : id;
	}

}
