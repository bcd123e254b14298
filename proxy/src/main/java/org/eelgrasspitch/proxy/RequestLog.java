package org.eelgrasspitch.proxy;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.eelgrasspitch.mesh.MeshRoute;
import org.eelgrasspitch.mesh.TargetEntry;

/**
 * Writes the decisions that touch one request at its entry.
 *
 * @param log the decision log
 * @param requestId the caller's identifier of the request; empty when it has none
 */
record RequestLog(DecisionLog log, String requestId) {

	void placed(MeshRoute route, int rank, TargetEntry target, View view, long leftMillis) {
		this.log.log(LogEvent.REQUEST_PLACED, "request", this.requestId, "route", route.name(), "rank", rank, "target",
				target.id(), "targets_revision", view.revisions()[SourceChannel.TARGETS.ordinal()], "left_ms",
				leftMillis);
	}

	void retried(MeshRoute route, TargetEntry target, CallFailure failure, int reached, int repeatsLeft) {
		this.log.log(LogEvent.REQUEST_RETRIED, "request", this.requestId, "route", route.name(), "target", target.id(),
				"reason", failure.reason().word(), "may_have_run", failure.mayHaveRun(), "reached", reached,
				"repeats_left", repeatsLeft);
	}

	void unavailable(String route, String service, String reason, int tried, long afterMillis, long returnMillis) {
		this.log.log(LogEvent.REQUEST_REFUSED, "request", this.requestId, "route", route, "service",
				String.valueOf(service), "reason", reason, "tried", tried, "after_ms", afterMillis, "return_ms",
				returnMillis);
	}

	void refused(CallerRequest request, HttpResponseStatus status, String reason) {
		this.log.log(LogEvent.REQUEST_REFUSED, "request", this.requestId, "status", status.code(), "reason", reason,
				"host", request.host(), "uri", request.uri());
	}

	void failed(String route, HttpResponseStatus status, FailureReason reason, int reached, long afterMillis,
			boolean cut) {
		this.log.log(LogEvent.REQUEST_FAILED, "request", this.requestId, "route", route, "status", status.code(),
				"reason", (reason != null) ? reason.word() : "timeout", "reached", reached, "after_ms", afterMillis,
				"cut", cut);
	}

	void done(MeshRoute route, Attempt attempt, boolean late, long afterMillis, long targetMillis, int tried) {
		this.log.log(LogEvent.REQUEST_DONE, "request", this.requestId, "route", route.name(), "target",
				attempt.target().id(), "status", attempt.reply().status(), "late", late, "after_ms", afterMillis,
				"target_ms", targetMillis, "tried", tried);
	}

	void cancelled(String route, long afterMillis, boolean sent) {
		this.log.log(LogEvent.REQUEST_CANCELLED, "request", this.requestId, "route", route, "after_ms", afterMillis,
				"sent", sent);
	}

}
