/**
 * Distribution of the published documents among nodes: which nodes read the platform,
 * which peers a node pulls from, which version it may hold, and when it may serve
 * requests with it. Nothing here performs input or output:
 * {@link org.eelgrasspitch.fleet.FleetMember} takes
 * {@link org.eelgrasspitch.fleet.FleetEvent}s and returns
 * {@link org.eelgrasspitch.fleet.FleetEffect}s.
 */
package org.eelgrasspitch.fleet;
