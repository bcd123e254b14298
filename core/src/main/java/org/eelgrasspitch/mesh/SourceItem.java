package org.eelgrasspitch.mesh;

/**
 * One item of a published document, as its source holds it.
 *
 * @param key its key
 * @param value its content, not interpreted here
 * @param revision the source's revision at which it was written
 */
public record SourceItem(String key, byte[] value, long revision) {

}
