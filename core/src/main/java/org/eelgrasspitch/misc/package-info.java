/**
 * Small parts that every other package uses: problems and their positions, located JSON,
 * digests, time, and resource clean-up.
 */
package org.eelgrasspitch.misc;
