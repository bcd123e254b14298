package org.eelgrasspitch.mesh;

/**
 * A service of the proxy's configuration.
 *
 * @param name the service's name
 * @param healthPath path of the health check, which returns status 200 while a target is
 * healthy
 * @param maxConnections maximum number of connections that a target accepts from all
 * callers together
 */
public record MeshService(String name, String healthPath, int maxConnections) {

}
