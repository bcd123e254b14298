/**
 * Utilities shared by the other packages: problem reporting, JSON parsing with source
 * positions, content digests, addresses, clocks, log rate limiting and resource cleanup.
 */
package org.eelgrasspitch.misc;
