package org.eelgrasspitch.proxy;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import org.eelgrasspitch.mesh.FleetRetryBudget.Purpose;
import org.eelgrasspitch.mesh.Hedging;
import org.eelgrasspitch.mesh.MeshRoute;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.mesh.TargetLoad;
import org.eelgrasspitch.proxy.ProxyMetrics.Outcome;

/**
 * Handles one request of a caller at its entry node, up to the end of the response.
 * <p>
 * A failed request is retried at another target only if it is idempotent or has certainly
 * not run, and only within the route's maximum number of attempts and the retry budget. A
 * refusal by a home uses up neither, since no target received the request. A slow
 * idempotent request is hedged: it is sent to a second target as well, and the first
 * response is used. A response is buffered until it is complete, up to
 * {@link CallListener#WINDOW_BYTES}, so that the request can be retried if the response
 * is cut off; a longer response is streamed.
 * <p>
 * When no further attempt is allowed, or the deadline passes, the caller gets an error
 * response at once: status 503 with a {@code Retry-After} header if the request has
 * certainly not run, otherwise 502 or 504. A response whose head has arrived by the
 * deadline may still end within {@link #RESPONSE_END_MILLIS}. If a response fails of
 * which a part is written, the connection is closed instead.
 */
final class Exchange {

	/** Time after the deadline for what is on its way of a response that has begun. */
	private static final long RESPONSE_END_MILLIS = 150;

	private final EntryService entry;

	private final CallerConnection connection;

	private final CallerRequest request;

	private final long receivedAtMillis;

	private final RequestBody body;

	private final RequestLog log;

	private final Attempts attempts = new Attempts();

	/** Decisions made on admission; null while the request is not admitted. */
	private Admission admission;

	private final RequestTimer deadlineTimer;

	/** Expires when the current attempt is slow enough to be hedged. */
	private final RequestTimer hedgeTimer;

	private final PipelinePosition pipelinePosition = new PipelinePosition();

	private final LinkWait linkWait = new LinkWait();

	/** Whether the response head was handed to the connection. */
	private boolean responseStarted;

	private boolean ended;

	/** Whether a target is chosen as soon as it is known that the caller is there. */
	private boolean aboutToBeSent;

	/** Outcome for the metrics unless another one is set. */
	private Outcome outcome = Outcome.ANSWERED;

	Exchange(EntryService entry, CallerConnection connection, CallerRequest request) {
		this.entry = entry;
		this.connection = connection;
		this.request = request;
		this.receivedAtMillis = entry.context().now();
		this.body = new RequestBody(!request.hasBody());
		this.log = new RequestLog(entry.context().log(), request.id());
		this.deadlineTimer = new RequestTimer(entry.context().loop());
		this.hedgeTimer = new RequestTimer(entry.context().loop());
		entry.requestBegan();
	}

	CallerRequest request() {
		return this.request;
	}

	boolean isComplete() {
		return this.ended && this.body.isComplete();
	}

	/**
	 * Finds the route and admits the request, or refuses it.
	 */
	void begin() {
		switch (AdmissionCheck.of(this.entry, this.request)) {
			case AdmissionCheck.Unavailable(String reason) -> unavailable(reason, 0);
			case AdmissionCheck.Refused(HttpResponseStatus status, String reason) -> refuse(status, reason);
			case AdmissionCheck.Passed(MeshRoute found) -> admit(found);
		}
	}

	private void admit(MeshRoute found) {
		this.admission = Admission.of(this.entry, found, this.request, this.receivedAtMillis);
		if (this.admission.nestedCall()) {
			this.entry.context().metrics().nestedCallReceived();
		}
		this.connection.admitted(this);
		this.log.admitted(this.admission, this.entry.state(), this.receivedAtMillis);
		this.deadlineTimer.start(this.admission.deadlineAtMillis() - this.receivedAtMillis, this::expire);
		if (this.body.isReady()) {
			chooseTarget();
		}
	}

	void receiveBody(byte[] content, boolean last) {
		if (last) {
			this.body.complete();
		}
		if (this.ended || this.admission == null) {
			return;
		}
		boolean notYetSent = this.attempts.current() == null && !this.body.isStreamed();
		this.body.add(content);
		if (this.body.totalBytes() > this.entry.limits().maxBodyBytes()) {
			this.attempts.cancel();
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too long");
			return;
		}
		if (notYetSent && this.body.isReady()) {
			chooseTarget();
			return;
		}
		if (this.attempts.current() != null) {
			this.attempts.current().pump();
		}
	}

	/**
	 * Returns whether the connection should stop reading.
	 * @return true if parts of the body wait to be sent to the target
	 */
	boolean isBodyBlocked() {
		return !this.ended && !this.body.unsentParts().isEmpty();
	}

	PipelinePosition pipelinePosition() {
		return this.pipelinePosition;
	}

	/**
	 * Ends the request and cancels its attempts; no reason if its caller disconnected.
	 */
	void disconnected(Optional<String> ownReason) {
		this.body.complete();
		if (this.ended) {
			return;
		}
		this.log.disconnected(ownReason, routeName(), ageMillis(), this.attempts.current() != null);
		this.outcome = Outcome.CANCELLED;
		this.attempts.cancel();
		end();
	}

	/**
	 * Sends the request to a target, unless its caller has left or it is about to be sent
	 * already.
	 */
	private void chooseTarget() {
		if (this.ended || this.aboutToBeSent) {
			return;
		}
		this.aboutToBeSent = true;
		this.connection.runForCaller(this::place);
	}

	private void place() {
		this.aboutToBeSent = false;
		if (this.ended) {
			return;
		}
		// Its body may have arrived when nothing is accepted any more.
		if (this.attempts.triedTargets().isEmpty() && this.entry.unavailableReason().isPresent()) {
			unavailable(this.entry.unavailableReason().get(), 0);
			return;
		}
		if (this.entry.isQuarantined(this.request, this.body)) {
			refuseOrFail("quarantined", QuarantineKeeper.RETRY_AFTER_MILLIS);
			return;
		}
		long now = now();
		long objective = this.entry.pipelineObjectives()
			.objectiveMillis(route().name(), this.admission.objectiveAtMillis() - now);
		Optional<TargetChoice> choice = this.entry.choose(route().name(), this.admission.service(),
				this.attempts.triedTargets(), objective);
		if (choice.isEmpty()) {
			waitForLinkOrGiveUp(now);
			return;
		}
		if (this.entry.isOutlasted(choice.get().target().id(), route().name())) {
			refuseOrFail("stopping", this.attempts.retryAfterMillis());
			return;
		}
		send(choice.get(), now);
	}

	private void waitForLinkOrGiveUp(long now) {
		if (this.attempts.triedTargets().isEmpty() && this.linkWait.mayGoOn(now)
				&& this.entry.hasExpectedTarget(this.admission.service())) {
			this.entry.context().loop().schedule(this::chooseTarget, LinkWait.POLL_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		giveUp();
	}

	private void send(TargetChoice choice, long now) {
		this.log.placed(route(), this.admission.rank(), choice, this.entry.state(),
				this.admission.deadlineAtMillis() - now, now);
		Attempt attempt = new Attempt(this, this.entry, choice.target(), now);
		this.attempts.began(attempt);
		start(attempt, this.attempts.reachedTargetCount() > 0);
		if (isCurrent(attempt) && mayHedge()) {
			this.hedgeTimer.start(Hedging.delayMillis(choice.chosen(), route().objectiveMillis()),
					() -> this.connection.runForCaller(this::hedge));
		}
	}

	private void start(Attempt attempt, boolean retry) {
		TargetEntry target = attempt.target();
		CallHead head = new CallHead(this.request.id(), route().name(), target.id(), this.request.method(),
				this.request.uri(), this.request.headers(), this.entry.boundDeadline(this.admission.deadlineAtMillis()),
				this.admission.objectiveAtMillis(), this.admission.rank(), route().idempotent(), retry,
				this.log.isKept(), this.entry.statements().limitPerSecond(target), this.request.bodyLength());
		if (this.attempts.triedTargets().size() == 1) {
			this.entry.recordFirstSend(this.admission.service(), this.request.id());
		}
		attempt.setHandle(this.entry.open(target, head, attempt));
	}

	/**
	 * Returns whether the current attempt may be hedged: the request may be sent again,
	 * the route allows a second attempt and no ended attempt reached a target.
	 */
	private boolean mayHedge() {
		return route().idempotent() && !this.body.isStreamed() && this.attempts.reachedTargetCount() == 0
				&& route().maxAttempts() > 1;
	}

	/**
	 * Sends the request to a second target if the current attempt has no response yet.
	 */
	private void hedge() {
		Attempt slow = this.attempts.current();
		if (this.ended || slow == null || slow.reply() != null || !mayHedge()) {
			return;
		}
		Optional<TargetChoice> second = this.entry.chooseHedge(route().name(), this.admission.service(),
				this.attempts.triedTargets(), this.admission.objectiveAtMillis() - now());
		if (second.isEmpty() || !this.entry.tryAcquireRetry(this.admission.service(), Purpose.HEDGE)) {
			return;
		}
		Attempt hedgeAttempt = new Attempt(this, this.entry, second.get().target(), now());
		this.log.hedged(route(), slow, hedgeAttempt, this.entry.availableRetries(this.admission.service()));
		this.entry.context().metrics().hedged();
		this.attempts.hedgeBegan(hedgeAttempt);
		start(hedgeAttempt, true);
	}

	/** Called when an attempt ended without a complete response. */
	void attemptFailed(Attempt failed, CallFailure failure) {
		boolean otherInProgress = this.attempts.failed(failed, failure);
		if (failure.reason() == FailureReason.WRONG_TARGET) {
			this.entry.recordDisplaced(failed.target().id());
		}
		if (otherInProgress) {
			return;
		}
		if (this.responseStarted) {
			fail(HttpResponseStatus.BAD_GATEWAY);
			return;
		}
		if (tryAcquireRetry(failure, this.attempts.reachedTargetCount())) {
			this.entry.context().metrics().retried(failure.reason());
			this.log.retried(route(), failed.target(), failure, this.attempts.reachedTargetCount(),
					this.entry.availableRetries(this.admission.service()),
					this.entry.suspectName(this.request, this.body, failure.reason()));
			chooseTarget();
			return;
		}
		giveUp();
	}

	private boolean tryAcquireRetry(CallFailure failure, int reachedTargetCount) {
		return !this.body.isStreamed()
				&& this.entry.tryAcquireRetry(this.admission, this.attempts, failure, reachedTargetCount);
	}

	private void giveUp() {
		FailureReason last = this.attempts.lastReason();
		refuseOrFail((last != null) ? last.loggedName() : "no target", this.attempts.retryAfterMillis());
	}

	private void refuseOrFail(String reason, int retryAfterMillis) {
		if (this.attempts.mayHaveRun()) {
			fail(HttpResponseStatus.BAD_GATEWAY);
			return;
		}
		unavailable(reason, retryAfterMillis);
	}

	private void expire() {
		if (this.attempts.hasResponseHead()) {
			this.deadlineTimer.start(RESPONSE_END_MILLIS, () -> endAttempts("timeout"));
			return;
		}
		endAttempts("timeout");
	}

	/**
	 * Ends the request with a final response, because this node is about to close. A
	 * response that the caller is receiving already continues.
	 */
	void answerBeforeClose() {
		if (!this.ended && !this.responseStarted) {
			endAttempts("stopping");
		}
	}

	private void endAttempts(String reason) {
		boolean definitelyNotRun = this.attempts.haveDefinitelyNotRun();
		this.attempts.cancel();
		if (definitelyNotRun) {
			unavailable(reason, this.attempts.retryAfterMillis());
			return;
		}
		fail(HttpResponseStatus.GATEWAY_TIMEOUT);
	}

	private void unavailable(String reason, int retryAfterMillis) {
		this.outcome = Outcome.REFUSED;
		long millis = LocalResponse.retryAfterMillis(retryAfterMillis, this.entry.context().random());
		this.log.unavailable(this.admission, reason, this.attempts.triedTargets().size(), ageMillis(), millis);
		respond(LocalResponse.unavailable(millis, this.entry.context().names(), this.request.id()));
	}

	private void refuse(HttpResponseStatus status, String reason) {
		if (this.responseStarted) {
			fail(status);
			return;
		}
		this.outcome = Outcome.REFUSED;
		this.log.refused(this.request, status, reason, this.entry.state(), now());
		respond(LocalResponse.of(status, this.entry.context().names(), this.request.id()));
	}

	private void fail(HttpResponseStatus status) {
		this.outcome = Outcome.FAILED;
		boolean cut = this.responseStarted && !this.connection.withdraw(this);
		this.log.failed(routeName(), status, this.attempts.lastReason(), this.attempts.reachedTargetCount(),
				ageMillis(), cut, this.entry.suspectName(this.request, this.body, this.attempts.lastReason()));
		if (cut) {
			end();
			this.connection.abort();
			return;
		}
		respond(LocalResponse.of(status, this.entry.context().names(), this.request.id()));
	}

	private void respond(HttpResponse response) {
		emit(response, 0);
		emit(LastHttpContent.EMPTY_LAST_CONTENT, 0);
		finish();
	}

	/**
	 * Passes a part of the response to the connection.
	 * @param part the part
	 * @param creditBytes number of body bytes in it, which the connection reports to
	 * {@link #written} once they are written; 0 for none
	 */
	void emit(HttpObject part, int creditBytes) {
		if (part instanceof HttpResponse response) {
			this.responseStarted = true;
			this.connection.setConnectionHeader(this, response);
		}
		this.connection.emit(this, part, creditBytes);
	}

	private void finish() {
		end();
		this.connection.finished(this);
	}

	/**
	 * Called when this response is complete and all earlier pipelined ones are written.
	 */
	void responseUnblocked() {
		if (this.admission != null) {
			this.pipelinePosition.logHeldTime(this.admission.objectiveAtMillis(), this.log, now());
		}
	}

	private void end() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.entry.context().metrics().requestEnded(this.outcome, ageMillis());
		this.body.clear();
		this.pipelinePosition.ended(routeName(), this.entry.pipelineObjectives(), now());
		this.deadlineTimer.cancel();
		this.hedgeTimer.cancel();
		this.entry.requestEnded();
	}

	/**
	 * Called when the connection has written a part of the response.
	 * @param bytes number of body bytes in it
	 */
	void written(int bytes) {
		if (this.attempts.current() != null && bytes > 0) {
			this.attempts.current().written(bytes);
		}
	}

	RequestBody body() {
		return this.body;
	}

	CallerConnection caller() {
		return this.connection;
	}

	MeshRoute route() {
		return this.admission.route();
	}

	boolean isResponseStarted() {
		return this.responseStarted;
	}

	boolean isCurrent(Attempt candidate) {
		return this.attempts.isCurrent(candidate) && !this.ended;
	}

	/**
	 * Called when an attempt received a response head; the other attempt is superseded.
	 */
	void responseHeadReceived(Attempt answering, ReplyHead head) {
		this.attempts.select(answering);
		this.entry.recordStatement(answering, head);
		this.entry.recordTargetTime(answering.target().id(), route().name(), head.targetMillis());
		this.entry.context().metrics().recordHopTime(now() - answering.sentAtMillis() - head.targetMillis());
	}

	/**
	 * Drops a server error response: the request continues with the other attempt if one
	 * is in progress and is retried otherwise.
	 * @param answering the attempt that received the error
	 * @return true if the response was dropped; false if it must be passed on because no
	 * retry is allowed
	 */
	boolean replaceServerError(Attempt answering) {
		CallFailure failure = new CallFailure(FailureReason.TARGET_BROKE_OFF, true, true, 0, TargetLoad.UNKNOWN);
		if (this.attempts.isOnlyAttempt(answering)
				&& !tryAcquireRetry(failure, this.attempts.reachedTargetCount() + 1)) {
			return false;
		}
		answering.supersede();
		if (!this.attempts.failed(answering, failure)) {
			chooseTarget();
		}
		return true;
	}

	void completed(Attempt done) {
		long now = now();
		this.entry.recordAnswer(this.request, this.body);
		this.log.done(route(), done, now > this.admission.objectiveAtMillis(), ageMillis(), now - done.sentAtMillis(),
				this.attempts.triedTargets().size());
		finish();
	}

	private long ageMillis() {
		return now() - this.receivedAtMillis;
	}

	private long now() {
		return this.entry.context().now();
	}

	private String routeName() {
		return (this.admission != null) ? route().name() : "";
	}

}
