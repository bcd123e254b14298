package org.eelgrasspitch.proxy;

import java.util.List;

import org.eelgrasspitch.mesh.Candidate;
import org.eelgrasspitch.mesh.TargetEntry;

/**
 * The target chosen for a request.
 *
 * @param target directory entry of the target
 * @param chosen state of the target on which the choice is based
 * @param candidates all candidates, including the chosen one
 */
record TargetChoice(TargetEntry target, Candidate chosen, List<Candidate> candidates) {

}
