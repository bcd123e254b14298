package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.MeshRoute;
import org.eelgrasspitch.mesh.TargetQueue;

/**
 * What was decided of a request when it was admitted. Times are monotonic milliseconds.
 *
 * @param route its route
 * @param service the service that serves it
 * @param nestedCall whether the target of this VM makes it while it runs another request
 * @param allowedMillis time that its caller allows, from its arrival
 * @param elapsedMillis time that its caller has probably been trying already
 * @param deadlineAtMillis when it must be answered
 * @param objectiveAtMillis when its answer becomes late
 */
record Admission(MeshRoute route, String service, boolean nestedCall, long allowedMillis, long elapsedMillis,
		long deadlineAtMillis, long objectiveAtMillis) {

	/** Time for the answer to reach the caller before it stops waiting. */
	private static final long RESPONSE_MARGIN_MILLIS = 15;

	/**
	 * Admits a request.
	 * @param entry what all requests of the entry share
	 * @param route the request's route
	 * @param request the request
	 * @param now when it arrived
	 * @return what was decided
	 */
	static Admission of(EntryService entry, MeshRoute route, CallerRequest request, long now) {
		long allowed = request.allowedMillis().orElse(route.timeoutMillis());
		boolean nestedCall = entry.isNestedCall(request.id());
		// A call of a target allows what its own caller has left, which says nothing of
		// repeats.
		long elapsed = nestedCall ? 0 : entry.elapsedMillis(route, allowed);
		return new Admission(route, entry.selectService(route), nestedCall, allowed, elapsed,
				now + Math.min(allowed - RESPONSE_MARGIN_MILLIS, route.timeoutMillis()),
				now + route.objectiveMillis() - elapsed);
	}

	int rank() {
		return this.nestedCall ? TargetQueue.NESTED_CALL_RANK : this.route.rank();
	}

}
