package org.eelgrasspitch.text;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.eelgrasspitch.misc.ErrorType;
import org.eelgrasspitch.misc.Position;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.misc.ProblemListener;

/**
 * Checks the dependency graph of a text: no cycle and no chain longer than
 * {@link #MAX_CHAIN_SERVICES}.
 * <p>
 * A depth-first walk computes, for each service, the longest chain that starts there. A
 * service that is met again while its own chain is still being computed closes a cycle;
 * the walk reports the cycle once and treats the closing edge as absent, so that it goes
 * on to find further cycles. Example: {@code a -> b -> c -> b} reports
 * {@code b -> c -> b} and then measures the chain {@code a -> b -> c}.
 */
final class DependencyCheck {

	/** Longest chain of services that call each other. */
	static final int MAX_CHAIN_SERVICES = 12;

	private final Map<String, Service> services = new LinkedHashMap<>();

	private final Map<String, Position> servicePositions;

	private final ProblemListener listener;

	/** Longest chain from each service finished so far. */
	private final Map<String, List<String>> longestChains = new HashMap<>();

	/** Services on the current walk, outermost first. */
	private final List<String> path = new ArrayList<>();

	DependencyCheck(List<Service> services, Map<String, Position> servicePositions, ProblemListener listener) {
		services.forEach((service) -> this.services.putIfAbsent(service.name(), service));
		this.servicePositions = servicePositions;
		this.listener = listener;
	}

	void run() {
		for (String name : this.services.keySet()) {
			List<String> chain = longestChainFrom(name);
			if (chain.size() > MAX_CHAIN_SERVICES) {
				report(ErrorType.CHAIN_TOO_LONG, name, chain.size(), String.join(" -> ", chain), MAX_CHAIN_SERVICES);
			}
		}
	}

	private List<String> longestChainFrom(String name) {
		List<String> computed = this.longestChains.get(name);
		if (computed != null) {
			return computed;
		}
		this.path.add(name);
		List<String> longest = List.of();
		for (String next : this.services.get(name).dependsOn()) {
			List<String> chain = longestChainThrough(next);
			longest = (chain.size() > longest.size()) ? chain : longest;
		}
		this.path.remove(this.path.size() - 1);
		List<String> result = new ArrayList<>(List.of(name));
		result.addAll(longest);
		this.longestChains.put(name, result);
		return result;
	}

	private List<String> longestChainThrough(String next) {
		if (!this.services.containsKey(next)) {
			return List.of();
		}
		int start = this.path.indexOf(next);
		if (start < 0) {
			return longestChainFrom(next);
		}
		List<String> cycle = new ArrayList<>(this.path.subList(start, this.path.size()));
		cycle.add(next);
		report(ErrorType.DEPENDENCY_CYCLE, next, String.join(" -> ", cycle));
		return List.of();
	}

	private void report(ErrorType type, String service, Object... arguments) {
		this.listener
			.report(Problem.of(type, this.servicePositions.getOrDefault(service, Position.UNKNOWN), arguments));
	}

}
