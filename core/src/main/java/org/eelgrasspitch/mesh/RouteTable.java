package org.eelgrasspitch.mesh;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request by its host and the longest matching path prefix.
 * <p>
 * Prefixes end with a slash, so a match can end only at a slash of the path. The search
 * shortens the path by one segment at a time with one lookup each; its cost does not
 * depend on the number of routes.
 */
public final class RouteTable {

	/** Routes by host name, then by path prefix. */
	private final Map<String, Map<String, MeshRoute>> routesByHost = new HashMap<>();

	private final List<MeshRoute> all;

	/**
	 * Creates a table.
	 * @param routes the routes; of several with the same host and prefix, the last is
	 * used
	 */
	public RouteTable(Collection<MeshRoute> routes) {
		this.all = List.copyOf(routes);
		routes.forEach((route) -> this.routesByHost.computeIfAbsent(route.host(), (host) -> new HashMap<>())
			.put(route.prefix(), route));
	}

	/**
	 * Returns all routes.
	 * @return the routes in the order of the configuration
	 */
	public List<MeshRoute> all() {
		return this.all;
	}

	/**
	 * Finds a route.
	 * @param authority the request's host name in any case, with or without a port
	 * @param path the request's path, with or without a query string
	 * @return the route, or empty if none matches
	 */
	public Optional<MeshRoute> find(String authority, String path) {
		Map<String, MeshRoute> ofHost = this.routesByHost.get(hostName(authority));
		if (ofHost == null) {
			return Optional.empty();
		}
		int query = path.indexOf('?');
		String pathOnly = (query < 0) ? path : path.substring(0, query);
		for (int end = pathOnly.lastIndexOf('/'); end >= 0; end = pathOnly.lastIndexOf('/', end - 1)) {
			MeshRoute route = ofHost.get(pathOnly.substring(0, end + 1));
			if (route != null) {
				return Optional.of(route);
			}
			if (end == 0) {
				break;
			}
		}
		return Optional.empty();
	}

	private static String hostName(String authority) {
		int port = authority.lastIndexOf(':');
		String host = (port < 0) ? authority : authority.substring(0, port);
		return host.toLowerCase(Locale.ROOT);
	}

}
