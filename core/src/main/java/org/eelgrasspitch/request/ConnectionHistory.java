package org.eelgrasspitch.request;

import java.util.HashSet;
import java.util.Set;

/**
 * The requests that one connection to a target has carried.
 * <p>
 * An answer names its request by the identifier that it echoes, but not the run: when a
 * request is sent again with the same identifier, a late or repeated answer to the first
 * run looks like the answer to the second. A connection therefore carries each identifier
 * at most once. What arrives on it and echoes the identifier of the request in progress
 * then answers exactly this run, however late earlier answers are repeated. This covers
 * everything that an answer says: its content, that the request has not run, and what the
 * target states about itself.
 * <p>
 * Example: connection 1 carries request {@code a}, then {@code b}. When {@code a} is sent
 * again, {@link #mayCarry} is false for connection 1, and another connection, which has
 * not carried {@code a}, is used.
 * <p>
 * Identifiers are kept as hash codes. Two identifiers with the same code cost a further
 * connection and nothing else. The history is never shortened, as nothing bounds how late
 * a target repeats an answer; a connection with {@link #MAX_REQUESTS} requests carries no
 * more. Not thread-safe.
 */
public final class ConnectionHistory {

	/**
	 * Maximum number of requests that a connection carries, which bounds the memory of
	 * its history.
	 */
	public static final int MAX_REQUESTS = 1_000;

	private final Set<Integer> identifierHashes = new HashSet<>();

	private int requests;

	private boolean retired;

	/**
	 * Returns whether the connection may carry a request.
	 * @param requestId identifier of the request; empty if it has none
	 * @return false if it has carried a request with this identifier, or the maximum
	 * number of requests
	 */
	public boolean mayCarry(String requestId) {
		return !isFull() && !this.identifierHashes.contains(requestId.hashCode());
	}

	/**
	 * Returns whether the connection may carry no further request.
	 * @return true if it must be closed after the request in progress
	 */
	public boolean isFull() {
		return this.retired || this.requests >= MAX_REQUESTS;
	}

	/**
	 * Returns whether the connection has carried no request yet.
	 * @return true if any answer on it is that of the next request
	 */
	public boolean isEmpty() {
		return this.requests == 0;
	}

	/**
	 * Lets the connection carry no further request, because later answers could not be
	 * assigned.
	 */
	public void retire() {
		this.retired = true;
	}

	/**
	 * Records a request that is sent on the connection.
	 * @param requestId identifier of the request; empty if it has none
	 */
	public void add(String requestId) {
		this.requests++;
		this.identifierHashes.add(requestId.hashCode());
	}

}
