package org.eelgrasspitch.mesh;

import java.util.Map;

/**
 * One complete configuration of the proxy. It is immutable and replaces its predecessor
 * as a whole, so a request never sees parts of two.
 *
 * @param version its number; larger is newer
 * @param limits limits on what callers send
 * @param routes the routes
 * @param services the services by name
 */
public record MeshConfig(long version, CallerLimits limits, RouteTable routes, Map<String, MeshService> services) {

	/**
	 * Creates a configuration.
	 */
	public MeshConfig {
		services = Map.copyOf(services);
	}

}
