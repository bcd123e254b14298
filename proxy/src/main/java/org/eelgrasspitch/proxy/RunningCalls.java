package org.eelgrasspitch.proxy;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Calls that were sent to the target of this VM, or wait for a connection to it, and have
 * not ended. Not thread-safe; must be used on the event loop.
 */
final class RunningCalls {

	private final Set<HomeCall> calls = new HashSet<>();

	void add(HomeCall call) {
		this.calls.add(call);
	}

	void remove(HomeCall call) {
		this.calls.remove(call);
	}

	/**
	 * Returns whether the target runs a request.
	 * @param requestId identifier of the request
	 * @return true from its start to its end
	 */
	boolean contains(String requestId) {
		return this.calls.stream().anyMatch((call) -> call.head().requestId().equals(requestId));
	}

	/**
	 * Returns whether the target runs a request that is marked as a retry; see
	 * {@link CallHead#retry()}.
	 * @param requestId identifier of the request
	 * @return true from its start to its end
	 */
	boolean containsRetry(String requestId) {
		return this.calls.stream().anyMatch((call) -> call.head().retry() && call.head().requestId().equals(requestId));
	}

	/**
	 * Returns the calls that were written to a connection and whose deadline was before a
	 * time.
	 * @param beforeMillis the time, in monotonic milliseconds
	 * @return a copy
	 */
	List<HomeCall> due(long beforeMillis) {
		return this.calls.stream()
			.filter((call) -> call.head().deadlineAtMillis() < beforeMillis && call.connection() != null)
			.toList();
	}

	/**
	 * Returns for how long the oldest running call of a route has run.
	 * @param route name of the route
	 * @param now current monotonic time in milliseconds
	 * @return the time in milliseconds; 0 if none runs
	 */
	long longestMillis(String route, long now) {
		return this.calls.stream()
			.filter((call) -> call.head().route().equals(route))
			.mapToLong((call) -> now - call.claimedAtMillis())
			.max()
			.orElse(0);
	}

	/**
	 * Logs that the calls are cut off.
	 * @param now current monotonic time in milliseconds
	 */
	void logCut(long now) {
		this.calls.forEach((call) -> call.log().cut(now - call.claimedAtMillis()));
	}

}
