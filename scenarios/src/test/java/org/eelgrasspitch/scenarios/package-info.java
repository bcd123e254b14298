/**
 * Steps of the scenario language and the run of all feature files.
 */
package org.eelgrasspitch.scenarios;
