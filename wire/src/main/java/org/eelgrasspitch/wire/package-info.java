/**
 * Carries messages between nodes: Thrift messages in length-limited frames over Netty.
 * The generated classes stand in {@code generated}; nothing outside this package uses
 * them.
 */
package org.eelgrasspitch.wire;
