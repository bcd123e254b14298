/**
 * Distribution of the published documents among nodes: which node reads the platform, who
 * pulls from whom, which version a node may hold, and when it may serve with it. Nothing
 * here performs input or output: {@link org.eelgrasspitch.fleet.FleetMember} takes
 * {@link org.eelgrasspitch.fleet.FleetEvent}s and returns
 * {@link org.eelgrasspitch.fleet.FleetEffect}s.
 */
package org.eelgrasspitch.fleet;
