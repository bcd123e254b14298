/**
 * Tests of the example program.
 */
package org.eelgrasspitch.example;
