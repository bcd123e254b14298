package org.eelgrasspitch.proxy;

/**
 * One crash of a target.
 *
 * @param target identifier of the target, which it keeps when it starts again
 * @param number distinguishes this crash from others of the same target: the monotonic
 * time in milliseconds at which its home found it down; 0 if the sender of the report
 * does not tell
 */
record TargetCrash(String target, long number) {

}
