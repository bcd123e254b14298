/**
 * State charts in JSON files, checked when loaded and interpreted by one small class.
 */
package org.eelgrasspitch.chart;
