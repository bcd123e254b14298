/**
 * Decision logic of the streaming proxy: routing, placement on targets, queueing and
 * admission at a target, hedging, limits on retries, and the directory of targets from
 * the published documents. This package performs no I/O, reads no clock and starts no
 * threads; time and randomness are passed in.
 */
package org.eelgrasspitch.mesh;
