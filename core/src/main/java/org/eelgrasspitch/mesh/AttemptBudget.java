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
 * the nodes that it believes exist. It keeps to {@link #CAUTION} of both, because nodes
 * may disagree about their number. Calls that a target makes while it runs a repeated
 * request are repeats of calls, too: the node beside that target counts them.
 * <p>
 * Load pattern answered: every target of a service fails while callers repeat on their
 * own; without the bound, each layer multiplies the load of the one above.
 */
public final class AttemptBudget {

	/** Part of the fleet's budget that is used. */
	private static final double CAUTION = 0.6;

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
	public AttemptBudget(double ratio, double minimum, long windowMillis) {
		limit(ratio, minimum, windowMillis);
	}

	/**
	 * Changes the limits. What was sent before still counts.
	 * @param ratio repeats allowed for each request
	 * @param minimum repeats allowed besides, in one window, by all nodes together
	 * @param windowMillis length of the window in milliseconds
	 */
	public void limit(double ratio, double minimum, long windowMillis) {
		this.ratio = ratio;
		this.minimum = minimum;
		this.windowMillis = windowMillis;
	}

	/**
	 * Notes the first send of a request.
	 * @param service the service that it is sent to
	 * @param now current monotonic time in milliseconds
	 */
	public void sent(String service, long now) {
		Window window = window(service, now);
		window.requests.add(now);
	}

	/**
	 * Takes one repeat if the budget allows it.
	 * @param service the service that it would be sent to
	 * @param nodes nodes that share the budget
	 * @param purpose why it would be sent again
	 * @param now current monotonic time in milliseconds
	 * @return true when the repeat may be made
	 */
	public boolean tryTake(String service, int nodes, Purpose purpose, long now) {
		Window window = window(service, now);
		double open = allowed(window, nodes) * purpose.share;
		if (window.repeated + 1 > open) {
			return false;
		}
		window.add(now, 1);
		return true;
	}

	/**
	 * Returns what is left.
	 * @param service a service
	 * @param nodes nodes that share the budget
	 * @param now current monotonic time in milliseconds
	 * @return repeats that could be made now
	 */
	public int left(String service, int nodes, long now) {
		Window window = window(service, now);
		return Math.max(0, (int) (allowed(window, nodes) - window.repeated));
	}

	/**
	 * Counts a call that may belong to a repeated request.
	 * @param service the service that it is sent to
	 * @param probability how probable that is, 0 to 1
	 * @param now current monotonic time in milliseconds
	 */
	public void repeated(String service, double probability, long now) {
		if (probability > 0) {
			window(service, now).add(now, probability);
		}
	}

	private double allowed(Window window, int nodes) {
		return CAUTION * (this.ratio * window.requests.size() + this.minimum / Math.max(1, nodes));
	}

	private Window window(String service, long now) {
		Window window = this.windows.computeIfAbsent(service, (name) -> new Window());
		while (!window.requests.isEmpty() && now - window.requests.getFirst() >= this.windowMillis) {
			window.requests.removeFirst();
		}
		while (!window.repeats.isEmpty() && now - window.repeats.getFirst().at() >= this.windowMillis) {
			window.repeated -= window.repeats.removeFirst().weight();
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
		private final double share;

		Purpose(double share) {
			this.share = share;
		}

	}

	/**
	 * Sends to one service within the window, the oldest first.
	 */
	private static final class Window {

		private final Deque<Long> requests = new ArrayDeque<>();

		private final Deque<Repeat> repeats = new ArrayDeque<>();

		/** Sum of the weights of all repeats. */
		private double repeated;

		void add(long at, double weight) {
			this.repeats.add(new Repeat(at, weight));
			this.repeated += weight;
		}

	}

	/**
	 * A repeat, or a call that may be one.
	 *
	 * @param at when, in monotonic milliseconds
	 * @param weight how much it counts
	 */
	private record Repeat(long at, double weight) {

	}

}
