/**
 * The operators' text, which configures the mesh, and the VM list: records, parsers that
 * validate them, their division into parts, and the immutable
 * {@link org.eelgrasspitch.text.Snapshot} that routes requests.
 */
package org.eelgrasspitch.text;
