/**
 * Tests of the decisions.
 */
package org.eelgrasspitch;
