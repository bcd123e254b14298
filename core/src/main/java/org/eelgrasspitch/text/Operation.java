package org.eelgrasspitch.text;

/**
 * One operation of a service.
 *
 * @param name name, unique in its service; callers use it in the request path
 * @param kind whether it may run more than once
 * @param priority importance under load
 * @param deadlineMillis longest time a caller waits for the answer, in milliseconds
 * @param lateAfterMillis time after which a waiting caller is told that the answer is
 * late, in milliseconds; equal to {@code deadlineMillis} when it is never told
 * @param objectivePerMille share of requests that must be answered well, in thousandths
 */
public record Operation(String name, OperationKind kind, Priority priority, int deadlineMillis, int lateAfterMillis,
		int objectivePerMille) {

}
