package org.eelgrasspitch.mesh;

/**
 * An item of a published document as stored by its source.
 *
 * @param key key of the item
 * @param value content, not interpreted by this package; must not be modified after
 * construction
 * @param revision revision of the source at which the item was written
 */
public record SourceItem(String key, byte[] value, long revision) {

}
