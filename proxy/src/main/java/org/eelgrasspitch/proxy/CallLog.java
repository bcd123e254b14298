package org.eelgrasspitch.proxy;

import org.eelgrasspitch.mesh.TargetLoad;
import org.eelgrasspitch.mesh.TargetQueue.Position;

/**
 * Logs the decisions about one call at the home of its target. A call that the entry node
 * logs is logged here too; so is every call that is refused, is cancelled, fails, is a
 * retry or ends late.
 */
final class CallLog {

	private final RequestTrace trace;

	private final CallHead head;

	/** Name of the entry node's VM. */
	private final String entryVm;

	CallLog(DecisionLog log, CallHead head, String entryVm) {
		this.trace = new RequestTrace(log, head.requestId(), head.logged());
		this.head = head;
		this.entryVm = entryVm;
	}

	void queued(Position position, TargetLoad load, long now) {
		this.trace.logIfKept(LogEvent.CALL_QUEUED, "entry", this.entryVm, "ahead", position.jobsAhead(),
				"expected_wait_ms", position.waitMillis(), "running", load.running(), "slots", load.slots(), "rank",
				this.head.rank(), "objective_ms", this.head.objectiveAtMillis() - now, "left_ms",
				this.head.deadlineAtMillis() - now);
	}

	void refused(FailureReason reason, TargetLoad load, int retryAfterMillis, long now) {
		this.trace.logAlways(LogEvent.CALL_REFUSED, "entry", this.entryVm, "target", this.head.target(), "reason",
				reason.loggedName(), "running", load.running(), "waiting", load.waiting(), "slots", load.slots(),
				"left_ms", this.head.deadlineAtMillis() - now, "return_ms", retryAfterMillis);
	}

	void failed(FailureReason reason, boolean mayHaveRun, long waitedMillis, long sinceClaimMillis) {
		this.trace.logAlways(LogEvent.CALL_FAILED, "entry", this.entryVm, "target", this.head.target(), "reason",
				reason.loggedName(), "may_have_run", mayHaveRun, "waited_ms", waitedMillis, "after_ms",
				sinceClaimMillis);
	}

	void done(boolean succeeded, long waitedMillis, long targetMillis, long now) {
		boolean late = now > this.head.objectiveAtMillis();
		if (succeeded && !late && !this.head.retry() && !this.trace.isKept()) {
			return;
		}
		this.trace.logAlways(LogEvent.CALL_DONE, "entry", this.entryVm, "target", this.head.target(), "good", succeeded,
				"late", late, "waited_ms", waitedMillis, "target_ms", targetMillis);
	}

	void cut(long sinceClaimMillis) {
		this.trace.logAlways(LogEvent.CALL_CUT, "entry", this.entryVm, "target", this.head.target(), "idempotent",
				this.head.idempotent(), "after_ms", sinceClaimMillis);
	}

	void cancelled(String state, long sinceReceiptMillis) {
		this.trace.logAlways(LogEvent.CALL_CANCELLED, "entry", this.entryVm, "target", this.head.target(), "state",
				state, "after_ms", sinceReceiptMillis);
	}

}
