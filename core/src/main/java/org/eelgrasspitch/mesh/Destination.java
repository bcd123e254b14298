package org.eelgrasspitch.mesh;

/**
 * One of the services among which a route distributes its requests.
 *
 * @param service name of the service
 * @param weight its share relative to the route's other destinations; above 0
 */
public record Destination(String service, double weight) {

}
