/**
 * A program that uses the library without the daemon.
 */
package org.eelgrasspitch.example;
