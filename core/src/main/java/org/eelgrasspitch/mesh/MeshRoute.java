package org.eelgrasspitch.mesh;

import java.util.List;

/**
 * A route of the proxy.
 *
 * @param name the route's name
 * @param host the host name that selects it, in lower case
 * @param prefix the path prefix that selects it; begins and ends with a slash
 * @param idempotent whether a request may run more than once
 * @param objectiveMillis time within which an answer is worth most
 * @param rank importance; 0 is the most important
 * @param timeoutMillis longest time a caller is kept waiting
 * @param maxAttempts most targets that may receive one request
 * @param destinations services with their weights; never empty
 */
public record MeshRoute(String name, String host, String prefix, boolean idempotent, long objectiveMillis, int rank,
		long timeoutMillis, int maxAttempts, List<Destination> destinations) {

	/**
	 * Creates a route.
	 */
	public MeshRoute {
		destinations = List.copyOf(destinations);
	}

	/**
	 * Selects a destination.
	 * @param draw a number from 0 (included) to 1 (excluded)
	 * @return name of the service whose share of the interval holds the number
	 */
	public String selectService(double draw) {
		double total = this.destinations.stream().mapToDouble(Destination::weight).sum();
		double remaining = draw * total;
		for (Destination destination : this.destinations) {
			remaining -= destination.weight();
			if (remaining < 0) {
				return destination.service();
			}
		}
		return this.destinations.getLast().service();
	}

}
