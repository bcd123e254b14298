package org.eelgrasspitch.proxy;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import org.eelgrasspitch.mesh.HomeLoad;
import org.eelgrasspitch.mesh.HomeQueue;
import org.eelgrasspitch.mesh.MeshRoute;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.proxy.ProxyMetrics.Outcome;

/**
 * One request of a caller at its entry, from its head to the end of its answer.
 * <p>
 * A request is sent to one target at a time. It is sent to another one only if the first
 * certainly did not run it, or if it is idempotent; and only within the route's attempts
 * and the budget of repeats. Refusals of a home cost neither, since no target has seen
 * the request. An answer is held until it is complete, up to
 * {@link CallSink#WINDOW_BYTES}, so that one that breaks off can still be replaced;
 * longer ones are passed on as they come.
 * <p>
 * When the entry gives up, the caller gets the final answer at once: status 503 with the
 * time to come back when the request has certainly not run, otherwise 502 or 504.
 */
final class Exchange {

	/** How often a request without any usable target looks again. */
	private static final long LOOK_MILLIS = 40;

	/** Longest time to wait for a link to open. */
	private static final long LINK_WAIT_MILLIS = 400;

	/** When a caller whose request crashes targets may come back, in milliseconds. */
	private static final int QUARANTINE_RETURN_MILLIS = 2_000;

	/** Time for the answer to reach the caller before it stops waiting. */
	private static final long ANSWER_MILLIS = 15;

	/** A repeat needs at least this long to be worth sending. */
	private static final long REPEAT_MILLIS = 40;

	private final EntryService service;

	private final CallerConnection connection;

	private final CallerRequest request;

	private final long receivedAt;

	private final RequestBody body;

	private final RequestLog log;

	private final Set<String> tried = new HashSet<>();

	private MeshRoute route;

	private int rank;

	private String destination;

	private long deadlineAt;

	private long objectiveAt;

	private ScheduledFuture<?> deadline;

	/** The attempt in progress; null before the first and between two. */
	private Attempt attempt;

	/** Targets that received the request. */
	private int reached;

	private boolean mayHaveRun;

	/** Earliest return that a home has named; 0 when none has. */
	private int returnMillis;

	private FailureReason lastReason;

	private long lookUntil;

	/** Whether the answer's head was handed to the connection. */
	private boolean answered;

	private boolean ended;

	private long endedAt;

	/** What became of the request if nothing else is noted. */
	private Outcome outcome = Outcome.ANSWERED;

	Exchange(EntryService service, CallerConnection connection, CallerRequest request) {
		this.service = service;
		this.connection = connection;
		this.request = request;
		this.receivedAt = service.fabric().now();
		this.body = new RequestBody(!request.hasBody());
		this.log = new RequestLog(service.fabric().log(), request.id());
		service.began();
	}

	CallerRequest request() {
		return this.request;
	}

	boolean isComplete() {
		return this.ended && this.body.isComplete();
	}

	/**
	 * Finds the route and sends the request on, or answers it at once.
	 */
	void begin() {
		if (this.request.problem().isPresent()) {
			refuse(this.request.problem().get(), "malformed");
			return;
		}
		if (!this.service.view().isComplete()) {
			unavailable("no configuration");
			return;
		}
		if (this.service.isEnding()) {
			unavailable("stopping");
			return;
		}
		Optional<MeshRoute> found = this.service.view().config().routes().find(this.request.host(), this.request.uri());
		if (found.isEmpty()) {
			refuse(HttpResponseStatus.NOT_FOUND, "no route");
			return;
		}
		if (this.request.bodyLength() > this.service.limits().maxBodyBytes()) {
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too long");
			return;
		}
		admit(found.get());
	}

	private void admit(MeshRoute found) {
		this.route = found;
		this.destination = this.service.service(found);
		long allowed = this.request.allowedMillis().orElse(found.timeoutMillis());
		boolean internal = this.service.isCall(this.request.id());
		this.rank = internal ? HomeQueue.CALL_RANK : found.rank();
		if (internal) {
			this.service.fabric().metrics().targetRequested();
		}
		// A call of a target allows what its own caller has left, which says nothing of
		// repeats.
		long elapsed = internal ? 0 : this.service.elapsedMillis(found, allowed);
		this.deadlineAt = this.receivedAt + Math.min(allowed - ANSWER_MILLIS, found.timeoutMillis());
		this.objectiveAt = this.receivedAt + found.objectiveMillis() - elapsed;
		this.log.admitted(found, this.destination, internal, allowed, elapsed, this.service.view(), this.receivedAt);
		this.deadline = this.service.fabric()
			.loop()
			.schedule(this::expire, Math.max(0, this.deadlineAt - this.receivedAt), TimeUnit.MILLISECONDS);
		if (this.body.isReady()) {
			place();
		}
	}

	/**
	 * Takes a piece of the request's body.
	 * @param content the bytes
	 * @param last whether the body is complete
	 */
	void body(byte[] content, boolean last) {
		if (last) {
			this.body.complete();
		}
		if (this.ended || this.route == null) {
			return;
		}
		boolean waited = this.attempt == null && !this.body.isStreamed();
		this.body.add(content);
		if (this.body.allBytes() > this.service.limits().maxBodyBytes()) {
			cancelAttempt();
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too long");
			return;
		}
		if (waited && this.body.isReady()) {
			place();
			return;
		}
		if (this.attempt != null) {
			this.attempt.pump();
		}
	}

	/**
	 * Tells whether the connection should stop reading, because nobody takes the body.
	 * @return true when too much of it waits
	 */
	boolean isClogged() {
		return !this.ended && !this.body.unsent().isEmpty();
	}

	/**
	 * The caller has left.
	 */
	void callerGone() {
		this.body.complete();
		if (this.ended) {
			return;
		}
		this.log.cancelled(routeName(), age(), this.attempt != null);
		this.outcome = Outcome.CANCELLED;
		cancelAttempt();
		end();
	}

	private void place() {
		if (this.ended) {
			return;
		}
		if (this.service.isQuarantined(this::fingerprint)) {
			this.returnMillis = QUARANTINE_RETURN_MILLIS;
			unavailable("quarantined");
			return;
		}
		long now = this.service.fabric().now();
		Optional<Choice> choice = this.service.choose(this.route.name(), this.destination, this.tried,
				this.objectiveAt - now);
		if (choice.isEmpty()) {
			placeLater(now);
			return;
		}
		send(choice.get(), now);
	}

	private void placeLater(long now) {
		if (this.lookUntil == 0) {
			this.lookUntil = now + LINK_WAIT_MILLIS;
		}
		if (this.tried.isEmpty() && now < this.lookUntil && this.service.hasUnlinked(this.destination)) {
			this.service.fabric().loop().schedule(this::place, LOOK_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		giveUp();
	}

	private void send(Choice choice, long now) {
		TargetEntry target = choice.target();
		this.log.placed(this.route, this.rank, choice, this.service.view(), this.deadlineAt - now, now);
		this.tried.add(target.id());
		CallHead head = new CallHead(this.request.id(), this.route.name(), target.id(), this.request.method(),
				this.request.uri(), this.request.headers(), this.deadlineAt, this.objectiveAt, this.rank,
				this.route.idempotent(), this.reached > 0, this.log.isKept(), this.request.bodyLength());
		Attempt started = new Attempt(this, target, now);
		this.attempt = started;
		if (this.tried.size() == 1) {
			this.service.firstSend(this.destination, this.request.id());
		}
		started.use(this.service.open(target, head, started));
	}

	/**
	 * An attempt has ended without an answer.
	 * @param failed the attempt
	 * @param failure how it ended
	 */
	void attemptFailed(Attempt failed, CallFailure failure) {
		this.attempt = null;
		this.lastReason = failure.reason();
		if (failure.reason() == FailureReason.TARGET_CRASHED && !this.body.isStreamed()) {
			this.service.crashed(fingerprint(), failed.target().id());
		}
		if (failure.reason() == FailureReason.WRONG_TARGET) {
			this.service.displaced(failed.target().id());
		}
		this.mayHaveRun |= failure.mayHaveRun();
		this.reached += failure.reachedTarget() ? 1 : 0;
		if (failure.returnMillis() > 0) {
			this.returnMillis = (this.returnMillis == 0) ? failure.returnMillis()
					: Math.min(this.returnMillis, failure.returnMillis());
		}
		if (this.answered) {
			fail(HttpResponseStatus.BAD_GATEWAY);
			return;
		}
		if (mayRepeat(failure)) {
			this.service.fabric().metrics().retried(failure.reason());
			this.log.retried(this.route, failed.target(), failure, this.reached,
					this.service.repeatsLeft(this.destination));
			place();
			return;
		}
		giveUp();
	}

	private Digest fingerprint() {
		return this.request.fingerprint(this.service.fabric().settings().service(), this.body);
	}

	private boolean mayRepeat(CallFailure failure) {
		if (this.body.isStreamed() || (failure.mayHaveRun() && !this.route.idempotent())) {
			return false;
		}
		if (!failure.reachedTarget()) {
			return true;
		}
		long now = this.service.fabric().now();
		return this.reached < this.route.maxAttempts() && now + REPEAT_MILLIS < this.deadlineAt
				&& this.service.hasChoice(this.route.name(), this.destination, this.tried)
				&& this.service.tryRepeat(this.destination, this.rank != HomeQueue.CALL_RANK && !failure.mayHaveRun());
	}

	private void giveUp() {
		if (this.mayHaveRun) {
			fail(HttpResponseStatus.BAD_GATEWAY);
			return;
		}
		unavailable((this.lastReason != null) ? this.lastReason.word() : "no target");
	}

	private void expire() {
		if (this.ended || (this.attempt != null && this.attempt.reply() != null)) {
			return;
		}
		boolean unsentYet = !this.mayHaveRun && (this.attempt == null || this.attempt.hasSurelyNotRun());
		cancelAttempt();
		if (unsentYet) {
			unavailable("timeout");
			return;
		}
		fail(HttpResponseStatus.GATEWAY_TIMEOUT);
	}

	private void cancelAttempt() {
		Attempt current = this.attempt;
		this.attempt = null;
		if (current != null) {
			current.cancel();
		}
	}

	private void unavailable(String reason) {
		this.outcome = Outcome.REFUSED;
		long millis = OwnAnswer.returnMillis(this.returnMillis, this.service.fabric().random());
		this.log.unavailable(routeName(), this.destination, reason, this.tried.size(), age(), millis);
		answer(OwnAnswer.comeBack(millis, this.service.fabric().names(), this.request.id()));
	}

	private void refuse(HttpResponseStatus status, String reason) {
		this.outcome = Outcome.REFUSED;
		this.log.refused(this.request, status, reason);
		answer(OwnAnswer.of(status, this.service.fabric().names(), this.request.id()));
	}

	private void fail(HttpResponseStatus status) {
		this.outcome = Outcome.FAILED;
		this.log.failed(routeName(), status, this.lastReason, this.reached, age(), this.answered);
		if (this.answered) {
			end();
			this.connection.cut();
			return;
		}
		answer(OwnAnswer.of(status, this.service.fabric().names(), this.request.id()));
	}

	private void answer(HttpResponse response) {
		emit(response, 0);
		emit(LastHttpContent.EMPTY_LAST_CONTENT, 0);
		finish();
	}

	/**
	 * Hands a part of the answer to the connection.
	 * @param part the part
	 * @param creditBytes bytes of the body that it holds
	 */
	void emit(HttpObject part, int creditBytes) {
		if (part instanceof HttpResponse response) {
			this.answered = true;
			this.connection.prepare(this, response);
		}
		this.connection.emit(this, part, creditBytes);
	}

	private void finish() {
		end();
		this.connection.finished(this);
	}

	/**
	 * Its answer, which was complete before, is written now that earlier ones are.
	 */
	void released() {
		long now = this.service.fabric().now();
		if (now > this.endedAt) {
			this.log.held(now - this.endedAt, now > this.objectiveAt && this.endedAt <= this.objectiveAt);
		}
	}

	private void end() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.endedAt = this.service.fabric().now();
		this.service.fabric().metrics().requestEnded(this.outcome, age());
		this.body.clear();
		if (this.deadline != null) {
			this.deadline.cancel(false);
		}
		this.service.ended();
	}

	/**
	 * The connection has written a part of the answer.
	 * @param bytes its length
	 */
	void written(int bytes) {
		if (this.attempt != null && bytes > 0) {
			this.attempt.written(bytes);
		}
	}

	RequestBody body() {
		return this.body;
	}

	MeshRoute route() {
		return this.route;
	}

	boolean isAnswered() {
		return this.answered;
	}

	boolean isCurrent(Attempt candidate) {
		return this.attempt == candidate && !this.ended;
	}

	void readOn() {
		this.connection.readOn();
	}

	void observed(TargetEntry target, ReplyHead head) {
		this.service.observed(target.id(), this.route.name(), head.targetMillis());
		this.service.fabric()
			.metrics()
			.hopTook(this.service.fabric().now() - this.attempt.sentAt() - head.targetMillis());
	}

	/**
	 * Sends the request to another target, because the present one has answered with an
	 * error of its own.
	 * @return true when it was sent; false when that answer is to be passed on
	 */
	boolean tryInstead() {
		CallFailure failure = new CallFailure(FailureReason.TARGET_BROKE_OFF, true, true, 0, HomeLoad.UNKNOWN);
		this.reached++;
		if (!mayRepeat(failure)) {
			this.reached--;
			return false;
		}
		// The rest of this answer is small and arrives unheeded.
		this.attempt = null;
		this.mayHaveRun = true;
		place();
		return true;
	}

	/**
	 * The answer of an attempt is complete.
	 * @param done the attempt
	 */
	void completed(Attempt done) {
		long now = this.service.fabric().now();
		this.log.done(this.route, done, now > this.objectiveAt, age(), now - done.sentAt(), this.tried.size());
		finish();
	}

	private long age() {
		return this.service.fabric().now() - this.receivedAt;
	}

	private String routeName() {
		return (this.route != null) ? this.route.name() : "";
	}

}
