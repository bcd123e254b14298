package org.eelgrasspitch.mesh;

import java.util.OptionalDouble;

/**
 * What one answer of a target states about the target itself.
 *
 * @param limitPerSecond number of requests that it takes per second from all nodes
 * together, 0 or more; empty if the answer names no limit
 * @param leaving whether it is about to stop
 * @param complete whether an answer without a limit means that the target has none; false
 * if it names a malformed one or does not come from a request that was served
 */
public record TargetStatement(OptionalDouble limitPerSecond, boolean leaving, boolean complete) {

}
