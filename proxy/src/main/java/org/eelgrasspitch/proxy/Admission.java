package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.MeshRoute;
import org.eelgrasspitch.mesh.TargetQueue;

/**
 * Decisions made on a request at its admission.
 *
 * @param route its route
 * @param service name of the service that serves it
 * @param nestedCall whether the target of this VM makes it while it runs another request
 * @param allowedMillis time from its arrival that its caller allows, in milliseconds; the
 * route's timeout if the caller states none
 * @param elapsedMillis estimated time for which its caller has been trying already, in
 * milliseconds; 0 for a nested call
 * @param deadlineAtMillis monotonic time in milliseconds at which the entry node gives
 * up, or shortly afterwards if a response has begun to arrive: the end of the route's
 * timeout, or {@link #RESPONSE_MARGIN_MILLIS} before the caller stops waiting if that is
 * earlier, or the end of this node if it is stopping; in the past if the caller allows
 * less than the margin
 * @param objectiveAtMillis monotonic time in milliseconds after which a response is late;
 * the route's objective counts from the caller's estimated first send
 */
record Admission(MeshRoute route, String service, boolean nestedCall, long allowedMillis, long elapsedMillis,
		long deadlineAtMillis, long objectiveAtMillis) {

	/** Time reserved for the response to reach the caller before it stops waiting. */
	private static final long RESPONSE_MARGIN_MILLIS = 15;

	/**
	 * Admits a request.
	 * @param entry state shared by all requests of the entry node
	 * @param route the request's route
	 * @param request the request
	 * @param now monotonic time of its arrival in milliseconds
	 * @return the decisions
	 */
	static Admission of(EntryService entry, MeshRoute route, CallerRequest request, long now) {
		long allowed = request.allowedMillis().orElse(route.timeoutMillis());
		boolean nestedCall = entry.isNestedCall(request.id());
		// The time allowed by a nested call is the rest of its parent's time; it does not
		// indicate a retry.
		long elapsed = nestedCall ? 0 : entry.estimateElapsedMillis(route, allowed);
		return new Admission(route, entry.selectService(route), nestedCall, allowed, elapsed,
				entry.boundDeadline(now + Math.min(allowed - RESPONSE_MARGIN_MILLIS, route.timeoutMillis())),
				now + route.objectiveMillis() - elapsed);
	}

	int rank() {
		return this.nestedCall ? TargetQueue.NESTED_CALL_RANK : this.route.rank();
	}

}
