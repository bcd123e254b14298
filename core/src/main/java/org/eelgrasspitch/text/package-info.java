/**
 * The operators' text and the VM list: records, the parsers that check them, their
 * division into parts, and the immutable {@link org.eelgrasspitch.text.Snapshot} that
 * requests use.
 */
package org.eelgrasspitch.text;
