package org.eelgrasspitch.text;

/**
 * The service and operation that handle a request. A route holds the objects instead of
 * their names, so it cannot refer to anything that its snapshot lacks.
 *
 * @param service the service
 * @param operation the operation
 */
public record Route(Service service, Operation operation) {

}
