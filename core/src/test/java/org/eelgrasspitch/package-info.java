/**
 * Tests of the core library.
 */
package org.eelgrasspitch;
