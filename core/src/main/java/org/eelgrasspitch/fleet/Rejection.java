package org.eelgrasspitch.fleet;

import java.util.List;

import org.eelgrasspitch.misc.Problem;

/**
 * A version that was rejected because of errors.
 *
 * @param revision the platform's revision; greater than 0
 * @param problems errors of the version; empty when a peer reported the rejection
 */
public record Rejection(long revision, List<Problem> problems) {

}
