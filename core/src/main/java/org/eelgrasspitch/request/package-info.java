/**
 * Request handling logic without input or output: load balancing, admission control,
 * retries, deduplication of at-most-once requests, quarantine, and the messages and
 * outcomes exchanged between nodes.
 */
package org.eelgrasspitch.request;
