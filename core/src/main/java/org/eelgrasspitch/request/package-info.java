/**
 * Decision logic of the node daemon, which forwards requests and responses whole: load
 * balancing, admission control, retries, deduplication of at-most-once requests,
 * quarantine, and the messages and outcomes exchanged between nodes. The streaming proxy
 * uses {@link org.eelgrasspitch.request.Quarantine} as well. This package performs no
 * I/O, reads no clock and starts no threads; time and randomness are passed in.
 */
package org.eelgrasspitch.request;
