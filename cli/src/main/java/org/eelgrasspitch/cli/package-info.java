/**
 * Command line. Each command is implemented by one class;
 * {@link org.eelgrasspitch.cli.Main} parses the arguments and runs the selected command.
 */
package org.eelgrasspitch.cli;
