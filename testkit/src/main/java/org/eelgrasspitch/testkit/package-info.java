/**
 * Stand-ins for everything outside the system (platform, targets, callers) with
 * switchable faults, helpers that run clusters of separate processes on loopback
 * addresses, and the measurements of the command line.
 */
package org.eelgrasspitch.testkit;
