/**
 * Tests of the example.
 */
package org.eelgrasspitch.example;
