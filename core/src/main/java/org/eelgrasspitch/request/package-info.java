/**
 * Decisions about requests: which target gets one, whether it may start, whether it may
 * be tried again, and what its caller is told. Nothing here performs input or output.
 */
package org.eelgrasspitch.request;
