/**
 * The streaming proxy: callers reach the entry of their own VM, the entry places each
 * request on a target and hands it to the home on that target's VM, and the home gives it
 * to the target when a slot is free. Everything about requests happens on one event loop;
 * everything about published documents on another.
 */
package org.eelgrasspitch.proxy;
