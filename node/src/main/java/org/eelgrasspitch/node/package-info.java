/**
 * The node daemon: provides sockets, threads and clocks for the decision logic of the
 * core module. Callers connect over HTTP and other nodes over framed Thrift messages; the
 * node connects to its target and to the platform over HTTP.
 */
package org.eelgrasspitch.node;
