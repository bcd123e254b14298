package org.eelgrasspitch.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Idle connections to the target of this VM, most recently used first.
 */
final class IdleConnections {

	/**
	 * Maximum idle time of a connection that is used for a non-idempotent request. It is
	 * far below any idle timeout, so the target is not about to close the connection.
	 */
	private static final long MAX_NON_IDEMPOTENT_IDLE_MILLIS = 1_000;

	/** Maximum number of connections kept. */
	private static final int MAX_CONNECTIONS = 32;

	private final Deque<TargetConnection> connections = new ArrayDeque<>();

	/**
	 * Keeps a connection, or closes it if there are enough.
	 * @param connection the connection
	 */
	void add(TargetConnection connection) {
		if (this.connections.size() >= MAX_CONNECTIONS) {
			connection.abort();
			return;
		}
		this.connections.push(connection);
	}

	void remove(TargetConnection connection) {
		this.connections.remove(connection);
	}

	/**
	 * Takes a connection for a request and closes those that have been idle too long.
	 * @param head the request
	 * @param now current monotonic time in milliseconds
	 * @return the connection; null if there is none that may be used
	 */
	TargetConnection take(CallHead head, long now) {
		Iterator<TargetConnection> candidates = this.connections.iterator();
		while (candidates.hasNext()) {
			TargetConnection connection = candidates.next();
			if (!connection.isUsable(now)) {
				candidates.remove();
				connection.abort();
				continue;
			}
			boolean fresh = head.idempotent() || connection.idleMillis(now) <= MAX_NON_IDEMPOTENT_IDLE_MILLIS;
			if (fresh && connection.mayCarry(head)) {
				candidates.remove();
				return connection;
			}
		}
		return null;
	}

	void closeAll() {
		while (!this.connections.isEmpty()) {
			this.connections.pop().abort();
		}
	}

}
