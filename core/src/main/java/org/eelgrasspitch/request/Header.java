package org.eelgrasspitch.request;

/**
 * One HTTP header.
 *
 * @param name the header's name
 * @param value the header's value
 */
public record Header(String name, String value) {

}
