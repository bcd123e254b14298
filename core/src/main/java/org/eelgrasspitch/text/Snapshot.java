package org.eelgrasspitch.text;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A text compiled for the request path: immutable and complete. A node swaps one
 * reference to change from one snapshot to the next, and a request keeps the snapshot
 * with which it started. Hence no request ever sees a mixture of two versions.
 */
public final class Snapshot {

	private final Version version;

	private final MeshText text;

	/** Every route, by what callers write. */
	private final Map<RouteKey, Route> routes;

	/** Every service, by name. */
	private final Map<String, Service> services;

	/**
	 * Compiles a checked text.
	 * @param version the text's version
	 * @param text the text, free of errors
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
	 * Returns the text that was compiled.
	 * @return the text
	 */
	public MeshText text() {
		return this.text;
	}

	/**
	 * Finds the route of a request.
	 * @param key what the caller wrote
	 * @return the route, or empty when the text has no such operation
	 */
	public Optional<Route> route(RouteKey key) {
		return Optional.ofNullable(this.routes.get(key));
	}

	/**
	 * Returns all routes.
	 * @return an immutable map
	 */
	public Map<RouteKey, Route> routes() {
		return this.routes;
	}

	/**
	 * Finds a service.
	 * @param name the service's name
	 * @return the service, or empty when the text has none of that name
	 */
	public Optional<Service> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

}
