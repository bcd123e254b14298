package org.eelgrasspitch.mesh;

import java.util.List;

/**
 * A route of the proxy.
 *
 * @param name the route's name
 * @param host host name that the route matches, in lower case
 * @param prefix path prefix that the route matches; begins and ends with a slash
 * @param idempotent whether a request may run more than once
 * @param objectiveMillis time within which a request should be answered, in milliseconds
 * @param rank priority of requests; the lowest rank goes first, at least 0
 * @param timeoutMillis maximum time for which a caller waits for the answer, in
 * milliseconds
 * @param maxAttempts maximum number of targets that may receive one request
 * @param destinations weighted services that serve the route; never empty
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
	 * Selects a service by weight.
	 * @param draw number from 0 (inclusive) to 1 (exclusive), evenly distributed over the
	 * requests
	 * @return name of the service whose share of the interval contains the number; if all
	 * weights are 0, the service of the last destination
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
