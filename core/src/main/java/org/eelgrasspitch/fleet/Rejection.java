package org.eelgrasspitch.fleet;

import java.util.List;

import org.eelgrasspitch.misc.Problem;

/**
 * The latest version that was refused.
 *
 * @param revision the platform's revision; greater than 0
 * @param problems what is wrong with it; empty when another node reported the refusal
 */
public record Rejection(long revision, List<Problem> problems) {

}
