/**
 * Stand-ins for the peers of the streaming proxy on the users' platform, which speak the
 * platform's published protocol: the key-value store, the servers and the callers.
 */
package org.eelgrasspitch.testkit.mesh;
