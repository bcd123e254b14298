package org.eelgrasspitch.proxy;

/**
 * Names of the header fields that callers, targets and the proxy share. They belong to
 * the deployment, so its adapter supplies them.
 *
 * @param requestId identifies one attempt of a caller; targets echo it
 * @param remainingMillis how long the caller, or the proxy, still waits
 * @param signature proves that a target made an answer
 * @param expectedTarget names the target that alone may run the request
 * @param notRun marks an answer of a target that did not run the request
 * @param callerService names the service on the VM where the request began
 * @param target names the target in answers to health checks
 * @param readinessPath path at which the deployment asks whether this node is ready
 */
public record HeaderNames(String requestId, String remainingMillis, String signature, String expectedTarget,
		String notRun, String callerService, String target, String readinessPath) {

}
