/**
 * Finite state machines that are defined in JSON resources and validated when they are
 * loaded.
 */
package org.eelgrasspitch.chart;
