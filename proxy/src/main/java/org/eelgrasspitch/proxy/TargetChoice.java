package org.eelgrasspitch.proxy;

import java.util.List;

import org.eelgrasspitch.mesh.Candidate;
import org.eelgrasspitch.mesh.TargetEntry;

/**
 * The target chosen for a request.
 *
 * @param target the target
 * @param chosen what was known of it
 * @param candidates all that were considered
 */
record TargetChoice(TargetEntry target, Candidate chosen, List<Candidate> candidates) {

}
