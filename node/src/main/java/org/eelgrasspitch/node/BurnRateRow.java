package org.eelgrasspitch.node;

/**
 * Good and bad requests of one operation at one node, as the operators' port shows them.
 *
 * @param service the service's name
 * @param operation the operation's name
 * @param objectivePerMille share that must be good, in thousandths
 * @param shortGood good requests of the last 5 minutes
 * @param shortBad bad requests of the last 5 minutes
 * @param longGood good requests of the last hour
 * @param longBad bad requests of the last hour
 */
public record BurnRateRow(String service, String operation, int objectivePerMille, long shortGood, long shortBad,
		long longGood, long longBad) {

}
