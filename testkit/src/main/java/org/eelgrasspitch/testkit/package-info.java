/**
 * Stand-ins for everything outside the system (platform, targets, callers), with switches
 * for faults, and helpers to run whole clusters of real processes on loopback addresses.
 */
package org.eelgrasspitch.testkit;
