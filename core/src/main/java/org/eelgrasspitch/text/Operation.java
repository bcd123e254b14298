package org.eelgrasspitch.text;

/**
 * One operation of a service.
 *
 * @param name the name, unique in its service; callers write it in the request path
 * @param kind whether it may run more than once for one request
 * @param priority priority for load shedding
 * @param deadlineMillis maximum time that a caller waits for the response, in
 * milliseconds
 * @param lateAfterMillis time after which a waiting caller is notified that the response
 * is late, in milliseconds; equal to {@code deadlineMillis} when there is no
 * notification; no effect for an idempotent operation
 * @param objectivePerMille service-level objective: the share of requests that must
 * succeed in time, in thousandths
 */
public record Operation(String name, OperationKind kind, Priority priority, int deadlineMillis, int lateAfterMillis,
		int objectivePerMille) {

}
