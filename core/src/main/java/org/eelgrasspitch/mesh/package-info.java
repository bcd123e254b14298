/**
 * Decisions of the streaming proxy: which route a request takes, which target serves it,
 * how work waits at a target and is refused, how often an attempt is repeated, and which
 * targets exist according to the newest published documents. Nothing here performs input
 * or output, reads a clock or starts a thread; time and randomness are passed in.
 */
package org.eelgrasspitch.mesh;
