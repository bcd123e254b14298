package org.eelgrasspitch.mesh;

/**
 * A service of the proxy's configuration.
 *
 * @param name the service's name
 * @param healthPath path that answers with status 200 while a target is healthy
 * @param maxConnections connections that one target accepts from all callers together
 */
public record MeshService(String name, String healthPath, int maxConnections) {

}
