package org.eelgrasspitch.mesh;

/**
 * A service to which a route sends a share of its requests.
 *
 * @param service name of the service
 * @param weight weight relative to the route's other destinations; at least 0, with 0 for
 * no requests; if all weights are 0, the last destination receives all requests
 */
public record Destination(String service, double weight) {

}
