package org.eelgrasspitch.proxy;

/**
 * Names of the header fields shared by callers, targets and the proxy, and the readiness
 * path. They are specific to the deployment, so its adapter supplies them.
 *
 * @param requestId carries the identifier that the caller gave the request; targets echo
 * it
 * @param remainingMillis time for which the caller, or the proxy, still waits, in
 * milliseconds
 * @param signature marks a response that a target produced; only its presence is checked
 * @param expectedTarget identifies the only target that may run the request
 * @param notRun marks a response of a target that did not run the request
 * @param callerService names the service on the VM where the request originated
 * @param target identifies the target in responses to health checks and misdirected
 * requests
 * @param targetLimit names the number of requests per second that a target takes from all
 * nodes together, a decimal number; absent while it has no limit
 * @param targetLeaving has the value 1 in all responses of a target that is about to stop
 * @param readinessPath path at which the deployment asks whether this node is ready
 */
public record HeaderNames(String requestId, String remainingMillis, String signature, String expectedTarget,
		String notRun, String callerService, String target, String targetLimit, String targetLeaving,
		String readinessPath) {

}
