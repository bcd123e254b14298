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
 * Validates the dependency graph of a text: it must be acyclic, and no dependency chain
 * may be longer than {@link #MAX_CHAIN_SERVICES}.
 * <p>
 * A depth-first search computes, for each service, the longest chain that starts there.
 * An edge to a service on the current path is a back edge and closes a cycle. The search
 * reports that cycle once and then ignores the back edge, so that further cycles are
 * found in the same pass. Example: {@code a -> b -> c -> b} reports {@code b -> c -> b}
 * and then measures the chain {@code a -> b -> c}.
 */
final class DependencyCheck {

	/** Maximum number of services in a dependency chain. */
	static final int MAX_CHAIN_SERVICES = 12;

	private final Map<String, Service> services = new LinkedHashMap<>();

	private final Map<String, Position> servicePositions;

	private final ProblemListener listener;

	/** Memoized longest chain from each service, by service name. */
	private final Map<String, List<String>> longestChains = new HashMap<>();

	/** Services on the current search path, starting with the root. */
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
