package org.eelgrasspitch.mesh;

import java.util.Map;

/**
 * A complete configuration of the proxy. It is immutable and replaced as a whole, so a
 * request never sees parts of two configurations.
 *
 * @param version version number; the larger is the newer
 * @param limits limits on requests and connections of callers
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
