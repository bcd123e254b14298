/**
 * The streaming proxy. Callers send requests to the entry node on their own VM. The entry
 * node chooses a target for each request and sends it to the home on that target's VM,
 * which passes it to the target when a slot is free. Requests are processed on one event
 * loop, published documents on another.
 */
package org.eelgrasspitch.proxy;
