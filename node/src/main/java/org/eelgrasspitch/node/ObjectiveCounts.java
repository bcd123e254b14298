package org.eelgrasspitch.node;

/**
 * Good and bad requests of one operation at one node, a row of {@code GET /burn}.
 *
 * @param service name of the service
 * @param operation name of the operation
 * @param objectivePerMille ratio of requests that must be good, in thousandths
 * @param shortGood good requests in the last 5 minutes
 * @param shortBad bad requests in the last 5 minutes
 * @param longGood good requests in the last hour
 * @param longBad bad requests in the last hour
 */
public record ObjectiveCounts(String service, String operation, int objectivePerMille, long shortGood, long shortBad,
		long longGood, long longBad) {

}
