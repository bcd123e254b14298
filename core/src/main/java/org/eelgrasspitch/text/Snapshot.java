package org.eelgrasspitch.text;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A text indexed for request routing. A snapshot is immutable and complete. A node
 * replaces its snapshot by assigning a single reference, and a request uses the snapshot
 * with which it started, so that no request sees a mixture of two versions.
 */
public final class Snapshot {

	private final Version version;

	private final MeshText text;

	/** All routes, by service and operation name. */
	private final Map<RouteKey, Route> routes;

	/** All services, by name. */
	private final Map<String, Service> services;

	/**
	 * Builds a snapshot of a valid text.
	 * @param version the text's version
	 * @param text the text, parsed without errors
	 */
	public Snapshot(Version version, MeshText text) {
		this.version = version;
		this.text = text;
		Map<RouteKey, Route> routesByKey = new HashMap<>();
		Map<String, Service> servicesByName = new HashMap<>();
		for (Service service : text.services()) {
			servicesByName.put(service.name(), service);
			for (Operation operation : service.operations()) {
				routesByKey.put(new RouteKey(service.name(), operation.name()), new Route(service, operation));
			}
		}
		this.routes = Map.copyOf(routesByKey);
		this.services = Map.copyOf(servicesByName);
	}

	/**
	 * Returns the version of the text.
	 * @return the version
	 */
	public Version version() {
		return this.version;
	}

	/**
	 * Returns the text from which the snapshot was built.
	 * @return the text
	 */
	public MeshText text() {
		return this.text;
	}

	/**
	 * Finds the route of a request.
	 * @param key service and operation name from the request path
	 * @return the route, or empty when the text does not define the operation
	 */
	public Optional<Route> route(RouteKey key) {
		return Optional.ofNullable(this.routes.get(key));
	}

	/**
	 * Returns all routes.
	 * @return an immutable map, in no particular order
	 */
	public Map<RouteKey, Route> routes() {
		return this.routes;
	}

	/**
	 * Finds a service.
	 * @param name the service's name
	 * @return the service, or empty when the text has no service with that name
	 */
	public Optional<Service> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

}
