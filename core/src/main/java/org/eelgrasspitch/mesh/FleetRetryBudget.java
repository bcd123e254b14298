package org.eelgrasspitch.mesh;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds repeated sends of requests to the targets of a service, for the whole fleet and
 * without a coordinator.
 * <p>
 * The fleet may repeat a share of its requests plus a fixed number in any window. Each
 * node uses the share of its own requests and its part of the fixed number, divided by
 * the nodes that it believes exist. It keeps to {@link #SAFETY_FACTOR} of both, because
 * nodes may disagree about their number. Calls that a target makes while it runs a
 * repeated request are repeats of calls, too: the node beside that target counts them.
 * <p>
 * Load pattern answered: every target of a service fails while callers repeat on their
 * own; without the bound, each layer multiplies the load of the one above.
 */
public final class FleetRetryBudget {

	/** Part of the fleet's budget that is used. */
	private static final double SAFETY_FACTOR = 0.6;

	private double ratio;

	private double minimum;

	private long windowMillis;

	private final Map<String, Window> windows = new HashMap<>();

	/**
	 * Creates a budget.
	 * @param ratio repeats allowed for each request
	 * @param minimum repeats allowed besides, in one window, by all nodes together
	 * @param windowMillis length of the window in milliseconds
	 */
	public FleetRetryBudget(double ratio, double minimum, long windowMillis) {
		setLimits(ratio, minimum, windowMillis);
	}

	/**
	 * Changes the limits. What was sent before still counts.
	 * @param ratio repeats allowed for each request
	 * @param minimum repeats allowed besides, in one window, by all nodes together
	 * @param windowMillis length of the window in milliseconds
	 */
	public void setLimits(double ratio, double minimum, long windowMillis) {
		this.ratio = ratio;
		this.minimum = minimum;
		this.windowMillis = windowMillis;
	}

	/**
	 * Notes the first send of a request.
	 * @param service the service that it is sent to
	 * @param now current monotonic time in milliseconds
	 */
	public void recordRequest(String service, long now) {
		Window window = window(service, now);
		window.requestTimes.add(now);
	}

	/**
	 * Takes one repeat if the budget allows it.
	 * @param service the service that it would be sent to
	 * @param nodes nodes that share the budget
	 * @param purpose why it would be sent again
	 * @param now current monotonic time in milliseconds
	 * @return true when the repeat may be made
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
	 * Returns what is left.
	 * @param service a service
	 * @param nodes nodes that share the budget
	 * @param now current monotonic time in milliseconds
	 * @return repeats that could be made now
	 */
	public int available(String service, int nodes, long now) {
		Window window = window(service, now);
		return Math.max(0, (int) (allowedRetries(window, nodes) - window.retryWeight));
	}

	/**
	 * Counts a call that may belong to a repeated request.
	 * @param service the service that it is sent to
	 * @param probability how probable that is, 0 to 1
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
	 * Why a request is sent again. The more a caller depends on it, the more of the
	 * budget is open to it, so that lesser purposes always leave something to the others.
	 */
	public enum Purpose {

		/** The first target may still answer, only late. */
		HEDGE(0.25),

		/** The request has not run, and its caller could come back on its own. */
		NOT_RUN(0.5),

		/** The request has failed, or its caller cannot come back. */
		FAILED(1);

		/** Part of the budget that is open to it. */
		private final double budgetShare;

		Purpose(double share) {
			this.budgetShare = share;
		}

	}

	/**
	 * Sends to one service within the window, the oldest first.
	 */
	private static final class Window {

		private final Deque<Long> requestTimes = new ArrayDeque<>();

		private final Deque<Retry> retries = new ArrayDeque<>();

		/** Sum of the weights of all repeats. */
		private double retryWeight;

		void addRetry(long at, double weight) {
			this.retries.add(new Retry(at, weight));
			this.retryWeight += weight;
		}

	}

	/**
	 * A repeat, or a call that may be one.
	 *
	 * @param atMillis when, in monotonic milliseconds
	 * @param weight how much it counts
	 */
	private record Retry(long atMillis, double weight) {

	}

}
