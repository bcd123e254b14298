package org.eelgrasspitch.mesh;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits retries to the targets of a service, over the whole fleet and without a
 * coordinator.
 * <p>
 * In any window the fleet may retry a share of its requests plus a fixed number. Each
 * node uses the share of its own requests plus the fixed number divided by the number of
 * nodes that it knows. It uses only {@link #SAFETY_FACTOR} of the sum, because nodes may
 * disagree about their number. Calls that a target makes while it runs a retried request
 * count as retries as well; the node on that target's VM counts them and limits the
 * retried requests that run there, see {@link NestedCallRates}.
 * <p>
 * Without the limit, when every target of a service fails and callers also retry, each
 * layer multiplies the load of the layer above it.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class FleetRetryBudget {

	/** Share of the budget that is used; nodes may disagree about their number. */
	private static final double SAFETY_FACTOR = 0.6;

	private double ratio;

	private double minimum;

	private long windowMillis;

	private final Map<String, Window> windows = new HashMap<>();

	/**
	 * Creates a budget.
	 * @param ratio retries allowed for each request
	 * @param minimum retries allowed in addition, in one window, by all nodes together
	 * @param windowMillis length of the window in milliseconds
	 */
	public FleetRetryBudget(double ratio, double minimum, long windowMillis) {
		setLimits(ratio, minimum, windowMillis);
	}

	/**
	 * Changes the limits. Requests and retries that are already recorded still count.
	 * @param ratio retries allowed for each request
	 * @param minimum retries allowed in addition, in one window, by all nodes together
	 * @param windowMillis length of the window in milliseconds
	 */
	public void setLimits(double ratio, double minimum, long windowMillis) {
		this.ratio = ratio;
		this.minimum = minimum;
		this.windowMillis = windowMillis;
	}

	/**
	 * Records the first attempt of a request.
	 * @param service name of the service that it is sent to
	 * @param now current monotonic time in milliseconds
	 */
	public void recordRequest(String service, long now) {
		Window window = window(service, now);
		window.requestTimes.add(now);
	}

	/**
	 * Consumes one retry if the budget allows it.
	 * @param service name of the service that the retry would be sent to
	 * @param nodes number of nodes that share the budget
	 * @param purpose reason for the retry
	 * @param now current monotonic time in milliseconds
	 * @return true if the retry may be sent
	 */
	public boolean tryAcquire(String service, int nodes, Purpose purpose, long now) {
		Window window = window(service, now);
		double allowed = allowedRetries(window, nodes) * purpose.budgetShare;
		if (window.retryWeight + 1 > allowed) {
			return false;
		}
		window.addRetry(now, 1);
		return true;
	}

	/**
	 * Returns whether the budget has room for calls that would count as retries.
	 * @param service name of the service that is called
	 * @param nodes number of nodes that share the budget
	 * @param calls expected number of calls, 0 or more
	 * @param now current monotonic time in milliseconds
	 * @return true if the calls would not exceed the budget
	 */
	public boolean covers(String service, int nodes, double calls, long now) {
		Window window = window(service, now);
		return window.retryWeight + calls <= allowedRetries(window, nodes);
	}

	/**
	 * Returns the number of retries that are available.
	 * @param service name of the service
	 * @param nodes number of nodes that share the budget
	 * @param now current monotonic time in milliseconds
	 * @return number of retries left for {@link Purpose#FAILED}, which may use the whole
	 * budget; 0 when it is used up
	 */
	public int available(String service, int nodes, long now) {
		Window window = window(service, now);
		return Math.max(0, (int) (allowedRetries(window, nodes) - window.retryWeight));
	}

	/**
	 * Counts a call that may belong to a retried request.
	 * @param service name of the service that it is sent to
	 * @param probability probability that it does, 0 to 1
	 * @param now current monotonic time in milliseconds
	 */
	public void recordProbableRetry(String service, double probability, long now) {
		if (probability > 0) {
			window(service, now).addRetry(now, probability);
		}
	}

	private double allowedRetries(Window window, int nodes) {
		return SAFETY_FACTOR * (this.ratio * window.requestTimes.size() + this.minimum / Math.max(1, nodes));
	}

	private Window window(String service, long now) {
		Window window = this.windows.computeIfAbsent(service, (name) -> new Window());
		while (!window.requestTimes.isEmpty() && now - window.requestTimes.getFirst() >= this.windowMillis) {
			window.requestTimes.removeFirst();
		}
		while (!window.retries.isEmpty() && now - window.retries.getFirst().atMillis() >= this.windowMillis) {
			window.retryWeight -= window.retries.removeFirst().weight();
		}
		return window;
	}

	/**
	 * Reason for a retry. A retry is allowed if all retries in the window together,
	 * including it, stay within its purpose's share of the budget. The share grows with
	 * the importance to the caller, so that less important retries never use up the
	 * budget.
	 */
	public enum Purpose {

		/** The first target may still answer, but late. */
		HEDGE(0.25),

		/** The request has not run, and its caller can retry it. */
		NOT_RUN(0.5),

		/** The request may have run, or its caller cannot retry it. */
		FAILED(1);

		/** Share of the budget that all retries together may reach, 0 to 1. */
		private final double budgetShare;

		Purpose(double share) {
			this.budgetShare = share;
		}

	}

	/**
	 * Requests and retries to one service within the window, oldest first.
	 */
	private static final class Window {

		private final Deque<Long> requestTimes = new ArrayDeque<>();

		private final Deque<Retry> retries = new ArrayDeque<>();

		/** Sum of the weights of all retries. */
		private double retryWeight;

		void addRetry(long at, double weight) {
			this.retries.add(new Retry(at, weight));
			this.retryWeight += weight;
		}

	}

	/**
	 * A retry, or a call that may be one.
	 *
	 * @param atMillis monotonic time in milliseconds
	 * @param weight probability that it is a retry, 0 to 1
	 */
	private record Retry(long atMillis, double weight) {

	}

}
