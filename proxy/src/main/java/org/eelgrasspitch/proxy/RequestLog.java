package org.eelgrasspitch.proxy;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.eelgrasspitch.mesh.Candidate;
import org.eelgrasspitch.mesh.MeshRoute;
import org.eelgrasspitch.mesh.Placement;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.mesh.TargetLoad;

/**
 * Logs the decisions about one request at its entry node. All decisions are logged for a
 * request that is refused, fails, is retried or cancelled, or gets a late or server error
 * response; any other request is logged only if it is sampled.
 */
final class RequestLog {

	private final RequestTrace trace;

	RequestLog(DecisionLog log, String requestId) {
		this.trace = new RequestTrace(log, requestId, log.isSampled(requestId));
	}

	/**
	 * Returns whether the request is logged regardless of its outcome; the home then logs
	 * it too.
	 * @return true if it is sampled or a line was already written
	 */
	boolean isKept() {
		return this.trace.isKept();
	}

	void admitted(Admission admission, RoutingState state, long now) {
		this.trace.logIfKept(LogEvent.REQUEST_ADMITTED, "route", admission.route().name(), "service",
				admission.service(), "from", admission.nestedCall() ? "target" : "caller", "allowed_ms",
				admission.allowedMillis(), "elapsed_ms", admission.elapsedMillis(), "config_version",
				state.config().version(), "config_age_ms", now - state.lastDeltaAtMillis(SourceChannel.CONFIG));
	}

	void placed(MeshRoute route, int rank, TargetChoice choice, RoutingState state, long leftMillis, long now) {
		this.trace.logIfKept(LogEvent.REQUEST_PLACED, "route", route.name(), "rank", rank, "target",
				choice.target().id(), "left_ms", leftMillis, "config_version", state.config().version(),
				"targets_revision", state.position(SourceChannel.TARGETS).revision(), "targets_age_ms",
				now - state.lastDeltaAtMillis(SourceChannel.TARGETS), "candidates",
				new Candidates(choice.candidates()));
	}

	/**
	 * Logs that a request is sent to another target.
	 * @param route its route
	 * @param target the target of the failed attempt
	 * @param failure why the attempt failed
	 * @param reachedTargetCount number of targets that received the request
	 * @param availableRetries retries left in the budget
	 * @param fingerprint the request's fingerprint; empty if the target cannot have
	 * crashed or the request has none
	 */
	void retried(MeshRoute route, TargetEntry target, CallFailure failure, int reachedTargetCount, int availableRetries,
			String fingerprint) {
		this.trace.logAlways(LogEvent.REQUEST_RETRIED, "route", route.name(), "target", target.id(), "reason",
				failure.reason().loggedName(), "may_have_run", failure.mayHaveRun(), "reached", reachedTargetCount,
				"repeats_left", availableRetries, "fingerprint", fingerprint);
	}

	void hedged(MeshRoute route, Attempt slow, Attempt hedge, int availableRetries) {
		this.trace.logIfKept(LogEvent.REQUEST_HEDGED, "route", route.name(), "slow", slow.target().id(), "target",
				hedge.target().id(), "waited_ms", hedge.sentAtMillis() - slow.sentAtMillis(), "repeats_left",
				availableRetries);
	}

	/**
	 * Logs that a request was refused with status 503 and has certainly not run.
	 * @param admission decisions made on admission; null if it was not admitted
	 * @param reason the reason
	 * @param triedTargetCount number of targets that were tried
	 * @param afterMillis time since the request arrived, in milliseconds
	 * @param retryAfterMillis retry delay told to the caller, in milliseconds
	 */
	void unavailable(Admission admission, String reason, int triedTargetCount, long afterMillis,
			long retryAfterMillis) {
		this.trace.logAlways(LogEvent.REQUEST_REFUSED, "route", (admission != null) ? admission.route().name() : "",
				"service", (admission != null) ? admission.service() : "", "reason", reason, "tried", triedTargetCount,
				"after_ms", afterMillis, "return_ms", retryAfterMillis);
	}

	/**
	 * Logs that a request was refused and has not run.
	 * @param request the request
	 * @param status status sent to the caller
	 * @param reason the reason
	 * @param state the routing state by which it was refused
	 * @param now current monotonic time in milliseconds
	 */
	void refused(CallerRequest request, HttpResponseStatus status, String reason, RoutingState state, long now) {
		// The query may contain confidential data, and no route depends on it.
		this.trace.logAlways(LogEvent.REQUEST_REFUSED, "status", status.code(), "reason", reason, "host",
				request.host(), "path", request.uri().split("\\?", 2)[0], "config_version",
				(state.config() != null) ? state.config().version() : 0, "config_age_ms",
				now - state.lastDeltaAtMillis(SourceChannel.CONFIG));
	}

	/**
	 * Logs that a request failed and may have run.
	 * @param route name of its route; empty if it was not admitted
	 * @param status status sent to the caller
	 * @param reason why the latest attempt failed; null if none has
	 * @param reachedTargetCount number of targets that received the request
	 * @param afterMillis time since the request arrived, in milliseconds
	 * @param truncated whether part of a response was sent already
	 * @param fingerprint the request's fingerprint; empty if the target cannot have
	 * crashed or the request has none
	 */
	void failed(String route, HttpResponseStatus status, FailureReason reason, int reachedTargetCount, long afterMillis,
			boolean truncated, String fingerprint) {
		this.trace.logAlways(LogEvent.REQUEST_FAILED, "route", route, "status", status.code(), "reason",
				(reason != null) ? reason.loggedName() : "timeout", "reached", reachedTargetCount, "after_ms",
				afterMillis, "cut", truncated, "fingerprint", fingerprint);
	}

	void done(MeshRoute route, Attempt attempt, boolean late, long afterMillis, long attemptMillis,
			int triedTargetCount) {
		ReplyHead reply = attempt.reply();
		if (!late && !reply.isServerError() && !isKept()) {
			return;
		}
		this.trace.logAlways(LogEvent.REQUEST_DONE, "route", route.name(), "target", attempt.target().id(), "status",
				reply.status(), "late", late, "after_ms", afterMillis, "hop_ms", attemptMillis, "target_ms",
				reply.targetMillis(), "tried", triedTargetCount);
	}

	/**
	 * Logs that a complete response waited for earlier pipelined ones on its connection.
	 * @param heldMillis how long it waited, in milliseconds
	 * @param late whether it missed its objective only because of the wait
	 */
	void held(long heldMillis, boolean late) {
		if (late || isKept()) {
			this.trace.logAlways(LogEvent.REQUEST_HELD, "held_ms", heldMillis, "late", late);
		}
	}

	private void cancelled(String route, long afterMillis, boolean sent) {
		this.trace.logAlways(LogEvent.REQUEST_CANCELLED, "route", route, "after_ms", afterMillis, "sent", sent);
	}

	/**
	 * Logs that the connection of a request ended without a complete answer.
	 * @param ownReason why this node ended it; empty if the caller did
	 * @param route name of its route; empty if it was not admitted
	 * @param afterMillis time since the request arrived, in milliseconds
	 * @param sent whether it was sent to a target
	 */
	void disconnected(Optional<String> ownReason, String route, long afterMillis, boolean sent) {
		ownReason.ifPresentOrElse((reason) -> this.trace.logAlways(LogEvent.REQUEST_UNANSWERED, "reason", reason,
				"route", route, "after_ms", afterMillis, "sent", sent), () -> cancelled(route, afterMillis, sent));
	}

	/**
	 * Logs that a request gets no complete answer although it is not in progress.
	 * @param reason the reason
	 */
	void unanswered(String reason) {
		this.trace.logAlways(LogEvent.REQUEST_UNANSWERED, "reason", reason);
	}

	/**
	 * The candidates of a choice, formatted only when the line is written.
	 *
	 * @param all the candidates
	 */
	private record Candidates(List<Candidate> all) {

		/** Maximum number of candidates written; the rest is only counted. */
		private static final int MAX_CANDIDATES = 8;

		/** Typical length of the text of one candidate, for the buffer size. */
		private static final int TYPICAL_CHARACTERS = 96;

		@Override
		public String toString() {
			StringBuilder text = new StringBuilder(MAX_CANDIDATES * TYPICAL_CHARACTERS);
			this.all.stream().limit(MAX_CANDIDATES).forEach((candidate) -> describe(candidate, text));
			if (this.all.size() > MAX_CANDIDATES) {
				text.append(this.all.size() - MAX_CANDIDATES).append(" more");
			}
			return text.toString();
		}

		private static void describe(Candidate candidate, StringBuilder text) {
			TargetLoad load = candidate.load();
			text.append(candidate.id())
				.append(candidate.near() ? " near " : " far ")
				.append(load.state().word())
				.append(" running=")
				.append(load.running())
				.append('/')
				.append(load.slots())
				.append(" waiting=")
				.append(load.waiting())
				.append(" sent=")
				.append(candidate.sentSinceReport())
				.append(" failing=")
				.append(load.failurePercent())
				.append("% expected_ms=")
				.append((long) Placement.expectedMillis(candidate))
				.append(" age_ms=")
				.append(candidate.reportAgeMillis())
				.append("; ");
		}

	}

}
