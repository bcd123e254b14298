/**
 * Stand-ins for what the streaming proxy meets on the users' platform, by the platform's
 * published protocol: the store, the servers and the requesters.
 */
package org.eelgrasspitch.testkit.mesh;
