package org.eelgrasspitch.text;

/**
 * Leads a request to its service. A route holds the service and operation themselves, not
 * their names, and so cannot point at something that its snapshot lacks.
 *
 * @param service the service
 * @param operation the operation
 */
public record Route(Service service, Operation operation) {

}
