/**
 * The command line. Each command is a class; {@link org.eelgrasspitch.cli.Main} parses
 * the arguments and picks one.
 */
package org.eelgrasspitch.cli;
