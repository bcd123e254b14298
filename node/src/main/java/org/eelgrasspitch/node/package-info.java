/**
 * The node daemon: sockets, threads and clocks around the decisions of the core. Callers
 * reach it by HTTP, other nodes by Thrift frames; it reaches its target and the platform
 * by HTTP.
 */
package org.eelgrasspitch.node;
