/**
 * An example program that embeds the core library without running a node.
 */
package org.eelgrasspitch.example;
