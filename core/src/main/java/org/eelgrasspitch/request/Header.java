package org.eelgrasspitch.request;

/**
 * One HTTP header.
 *
 * @param name field name
 * @param value field value
 */
public record Header(String name, String value) {

}
