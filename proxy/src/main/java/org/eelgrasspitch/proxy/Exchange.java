package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import org.eelgrasspitch.mesh.HomeLoad;
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

	/** When a caller may come back if nobody knows better, in milliseconds. */
	private static final int DEFAULT_RETURN_MILLIS = 300;

	/**
	 * Part of the return time by which it is spread, so that callers do not return
	 * together.
	 */
	private static final double RETURN_SPREAD = 0.5;

	/** When a caller whose request crashes targets may come back, in milliseconds. */
	private static final int QUARANTINE_RETURN_MILLIS = 2_000;

	/** Time for the answer to reach the caller before it stops waiting. */
	private static final long ANSWER_MILLIS = 15;

	/**
	 * Rank of calls that targets make while they run a request: ahead of all others,
	 * since work already done is lost when one of them fails.
	 */
	private static final int INTERNAL_RANK = -1;

	/** A repeat needs at least this long to be worth sending. */
	private static final long REPEAT_MILLIS = 40;

	private static final int SERVER_ERROR = 500;

	private static final double MILLIS_PER_SECOND = 1_000.0;

	private final EntryService service;

	private final CallerConnection connection;

	private final CallerRequest request;

	private final long receivedAt;

	/** The request's body so far, for the first send and for repeats. */
	private final List<byte[]> body = new ArrayList<>();

	private int bodyBytes;

	private boolean bodyComplete;

	/** True once parts of the body were passed on that are not kept. */
	private boolean streamed;

	/** Parts of the body that wait for permission to be sent. */
	private final Deque<byte[]> unsent = new ArrayDeque<>();

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

	/** What became of the request if nothing else is noted. */
	private Outcome outcome = Outcome.ANSWERED;

	Exchange(EntryService service, CallerConnection connection, CallerRequest request) {
		this.service = service;
		this.connection = connection;
		this.request = request;
		this.receivedAt = service.fabric().now();
		this.bodyComplete = !request.hasBody();
		service.began();
	}

	CallerRequest request() {
		return this.request;
	}

	boolean isComplete() {
		return this.ended && this.bodyComplete;
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
		boolean internal = this.connection.isFromTarget();
		this.rank = internal ? INTERNAL_RANK : found.rank();
		// A call of a target allows what its own caller has left, which says nothing of
		// repeats.
		long elapsed = internal ? 0 : this.service.elapsedMillis(found, allowed);
		this.deadlineAt = this.receivedAt + Math.min(allowed - ANSWER_MILLIS, found.timeoutMillis());
		this.objectiveAt = this.receivedAt + found.objectiveMillis() - elapsed;
		this.deadline = this.service.fabric()
			.loop()
			.schedule(this::expire, Math.max(0, this.deadlineAt - this.receivedAt), TimeUnit.MILLISECONDS);
		if (isBodyReady()) {
			place();
		}
	}

	/**
	 * Takes a piece of the request's body.
	 * @param content the bytes
	 * @param last whether the body is complete
	 */
	void body(byte[] content, boolean last) {
		this.bodyComplete = last;
		if (this.ended) {
			return;
		}
		if (this.route == null) {
			return;
		}
		boolean waited = this.attempt == null && !this.streamed;
		keep(content);
		if (waited && isBodyReady()) {
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
		return !this.ended && !this.unsent.isEmpty();
	}

	/**
	 * The caller has left.
	 */
	void callerGone() {
		this.bodyComplete = true;
		if (this.ended) {
			return;
		}
		this.service.fabric()
			.log()
			.log(LogEvent.REQUEST_CANCELLED, "request", this.request.id(), "route", routeName(), "after_ms", age(),
					"sent", this.attempt != null);
		this.outcome = Outcome.CANCELLED;
		cancelAttempt();
		end();
	}

	private void keep(byte[] content) {
		if (content.length == 0) {
			return;
		}
		if (this.streamed || this.bodyBytes + content.length > CallSink.WINDOW_BYTES) {
			this.streamed = true;
			this.unsent.add(content);
			return;
		}
		this.body.add(content);
		this.bodyBytes += content.length;
	}

	private boolean isBodyReady() {
		return this.bodyComplete || this.streamed;
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
		Optional<TargetEntry> target = this.service.choose(this.route.name(), this.destination, this.tried,
				this.objectiveAt - now);
		if (target.isEmpty()) {
			placeLater(now);
			return;
		}
		send(target.get(), now);
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

	private void send(TargetEntry target, long now) {
		this.tried.add(target.id());
		CallHead head = new CallHead(this.request.id(), this.route.name(), target.id(), this.request.method(),
				this.request.uri(), this.request.headers(), this.deadlineAt, homeObjectiveAt(), this.rank,
				this.route.idempotent(), this.reached > 0, this.request.bodyLength());
		Attempt started = new Attempt(target, now);
		this.attempt = started;
		if (this.tried.size() == 1) {
			this.service.firstSend(this.destination, this.rank == INTERNAL_RANK);
		}
		if (DecisionLog.isSampled(this.request.id())) {
			this.service.fabric()
				.log()
				.log(LogEvent.REQUEST_PLACED, "request", this.request.id(), "route", this.route.name(), "rank",
						this.rank, "target", target.id(), "targets_revision",
						this.service.view().revisions()[SourceChannel.TARGETS.ordinal()], "left_ms",
						this.deadlineAt - now);
		}
		started.use(this.service.open(target, head, started));
	}

	/**
	 * Returns until when the home should prefer to serve the request. A call of a target
	 * is worth its whole caller's work until the caller gives up, however late it is
	 * itself.
	 * @return the time in monotonic milliseconds
	 */
	private long homeObjectiveAt() {
		return (this.rank == INTERNAL_RANK) ? this.deadlineAt : this.objectiveAt;
	}

	private void attemptFailed(Attempt failed, CallFailure failure) {
		this.attempt = null;
		this.lastReason = failure.reason();
		if (failure.reason() == FailureReason.TARGET_CRASHED && !this.streamed) {
			this.service.crashed(fingerprint(), failed.target.id());
		}
		if (failure.reason() == FailureReason.WRONG_TARGET) {
			this.service.displaced(failed.target.id());
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
			this.service.fabric()
				.log()
				.log(LogEvent.REQUEST_RETRIED, "request", this.request.id(), "route", this.route.name(), "target",
						failed.target.id(), "reason", failure.reason().word(), "may_have_run", failure.mayHaveRun(),
						"reached", this.reached, "repeats_left", this.service.repeatsLeft(this.destination));
			place();
			return;
		}
		giveUp();
	}

	/**
	 * Recognises the same request when it comes again, at any node: by its path, its body
	 * and the service where it began.
	 * @return the fingerprint
	 */
	private Digest fingerprint() {
		ByteArrayOutputStream content = new ByteArrayOutputStream();
		String head = this.request.method() + ' ' + this.request.host() + this.request.uri() + ' '
				+ this.service.fabric().settings().service() + '\n';
		content.writeBytes(head.getBytes(StandardCharsets.UTF_8));
		this.body.forEach(content::writeBytes);
		return Digest.of(content.toByteArray());
	}

	private boolean mayRepeat(CallFailure failure) {
		if (this.streamed || (failure.mayHaveRun() && !this.route.idempotent())) {
			return false;
		}
		if (!failure.reachedTarget()) {
			return true;
		}
		long now = this.service.fabric().now();
		return this.reached < this.route.maxAttempts() && now + REPEAT_MILLIS < this.deadlineAt
				&& this.service.choose(this.route.name(), this.destination, this.tried, this.objectiveAt - now)
					.isPresent()
				&& this.service.tryRepeat(this.destination, this.rank != INTERNAL_RANK && !failure.mayHaveRun());
	}

	private void giveUp() {
		if (this.mayHaveRun) {
			fail(HttpResponseStatus.BAD_GATEWAY);
			return;
		}
		unavailable((this.lastReason != null) ? this.lastReason.word() : "no target");
	}

	private void expire() {
		if (this.ended || (this.attempt != null && this.attempt.reply != null)) {
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
		if (current != null && current.flow != null) {
			current.flow.cancel();
		}
	}

	private void unavailable(String reason) {
		this.outcome = Outcome.REFUSED;
		int base = (this.returnMillis > 0) ? this.returnMillis : DEFAULT_RETURN_MILLIS;
		double spread = 1 + RETURN_SPREAD * (this.service.fabric().random().nextDouble() - RETURN_SPREAD);
		long millis = Math.max(1, Math.round(base * spread));
		this.service.fabric()
			.log()
			.log(LogEvent.REQUEST_REFUSED, "request", this.request.id(), "route", routeName(), "service",
					String.valueOf(this.destination), "reason", reason, "tried", this.tried.size(), "after_ms", age(),
					"return_ms", millis);
		DefaultHttpResponse response = empty(HttpResponseStatus.SERVICE_UNAVAILABLE);
		response.headers().set(HttpHeaderNames.RETRY_AFTER, String.valueOf(millis / MILLIS_PER_SECOND));
		answer(response);
	}

	private void refuse(HttpResponseStatus status, String reason) {
		this.outcome = Outcome.REFUSED;
		this.service.fabric()
			.log()
			.log(LogEvent.REQUEST_REFUSED, "request", this.request.id(), "status", status.code(), "reason", reason,
					"host", this.request.host(), "uri", this.request.uri());
		answer(empty(status));
	}

	private void fail(HttpResponseStatus status) {
		this.outcome = Outcome.FAILED;
		this.service.fabric()
			.log()
			.log(LogEvent.REQUEST_FAILED, "request", this.request.id(), "route", routeName(), "status", status.code(),
					"reason", (this.lastReason != null) ? this.lastReason.word() : "timeout", "reached", this.reached,
					"after_ms", age(), "cut", this.answered);
		if (this.answered) {
			end();
			this.connection.cut();
			return;
		}
		answer(empty(status));
	}

	private void answer(HttpResponse response) {
		emit(response, 0);
		emit(LastHttpContent.EMPTY_LAST_CONTENT, 0);
		finish();
	}

	private DefaultHttpResponse empty(HttpResponseStatus status) {
		DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
		if (!this.request.id().isEmpty()) {
			response.headers().set(this.service.fabric().names().requestId(), this.request.id());
		}
		return response;
	}

	private void emit(HttpObject part, int creditBytes) {
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

	private void end() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.service.fabric().metrics().requestEnded(this.outcome, age());
		this.body.clear();
		this.unsent.clear();
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
		if (this.attempt != null && this.attempt.flow != null && bytes > 0) {
			this.attempt.flow.credit(bytes);
		}
	}

	private long age() {
		return this.service.fabric().now() - this.receivedAt;
	}

	private String routeName() {
		return (this.route != null) ? this.route.name() : "";
	}

	/**
	 * One send of the request to one target.
	 */
	private final class Attempt implements CallSink {

		private final TargetEntry target;

		private final long sentAt;

		/** Parts of the answer that are held until it is complete. */
		private final List<byte[]> held = new ArrayList<>();

		private int heldBytes;

		/** Where the rest of the call goes; null until it was opened. */
		private CallFlow flow;

		/** The answer's head; null before it arrived. */
		private ReplyHead reply;

		private int bodyCredit = WINDOW_BYTES;

		private int nextPart;

		/** Whether the home may start the request. */
		private boolean permitted;

		/** Whether the home asked before it was known where the rest of the call goes. */
		private boolean askedEarly;

		private boolean lastSent;

		Attempt(TargetEntry target, long sentAt) {
			this.target = target;
			this.sentAt = sentAt;
		}

		void use(CallFlow opened) {
			if (!isCurrent()) {
				return;
			}
			if (opened == null) {
				failed(CallFailure.notSent(FailureReason.LINK_DOWN, 0, HomeLoad.UNKNOWN));
				return;
			}
			this.flow = opened;
			pump();
			if (this.askedEarly && isCurrent()) {
				startAsked();
			}
		}

		void pump() {
			if (this.flow == null || this.lastSent || !Exchange.this.request.hasBody()) {
				return;
			}
			while (this.nextPart < Exchange.this.body.size()) {
				byte[] part = Exchange.this.body.get(this.nextPart++);
				sendPart(part, this.nextPart == Exchange.this.body.size());
			}
			while (this.bodyCredit > 0 && !Exchange.this.unsent.isEmpty()) {
				sendPart(Exchange.this.unsent.poll(), Exchange.this.unsent.isEmpty());
			}
			if (!this.lastSent && Exchange.this.bodyComplete && Exchange.this.unsent.isEmpty()) {
				this.lastSent = true;
				this.flow.data(new byte[0], true);
			}
			Exchange.this.connection.readOn();
		}

		private void sendPart(byte[] part, boolean newest) {
			this.lastSent = newest && Exchange.this.bodyComplete && Exchange.this.unsent.isEmpty();
			this.bodyCredit -= part.length;
			this.flow.data(part, this.lastSent);
		}

		/**
		 * Tells whether this attempt cannot have run: the home asks before it starts a
		 * request that must not run twice.
		 * @return true when permission to start was not given
		 */
		boolean hasSurelyNotRun() {
			return !Exchange.this.route.idempotent() && !this.permitted;
		}

		@Override
		public void startAsked() {
			if (isCurrent() && this.flow != null) {
				this.permitted = true;
				this.flow.start();
				return;
			}
			this.askedEarly = isCurrent();
		}

		@Override
		public void replied(ReplyHead head) {
			if (!isCurrent()) {
				return;
			}
			if (head.status() >= SERVER_ERROR && Exchange.this.route.idempotent() && tryInstead()) {
				return;
			}
			this.reply = head;
			Exchange.this.service.observed(this.target.id(), Exchange.this.route.name(), head.targetMillis());
		}

		private boolean tryInstead() {
			CallFailure failure = new CallFailure(FailureReason.TARGET_BROKE_OFF, true, true, 0, HomeLoad.UNKNOWN);
			Exchange.this.reached++;
			if (!mayRepeat(failure)) {
				Exchange.this.reached--;
				return false;
			}
			// The rest of this answer is small and arrives unheeded.
			Exchange.this.attempt = null;
			Exchange.this.mayHaveRun = true;
			place();
			return true;
		}

		@Override
		public void data(byte[] content, boolean last) {
			if (!isCurrent()) {
				return;
			}
			if (Exchange.this.answered) {
				pass(content);
			}
			else {
				this.held.add(content);
				this.heldBytes += content.length;
				if (last || this.heldBytes >= WINDOW_BYTES) {
					passHeld(last);
				}
			}
			if (last) {
				complete();
			}
		}

		private void passHeld(boolean whole) {
			DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(this.reply.status()));
			Headers.add(this.reply.headers(), response.headers());
			frame(response, whole);
			emit(response, 0);
			this.held.forEach(this::pass);
			this.held.clear();
		}

		private void frame(HttpResponse response, boolean whole) {
			if (HttpResponseStatus.NO_CONTENT.code() == this.reply.status()
					|| HttpResponseStatus.NOT_MODIFIED.code() == this.reply.status()) {
				return;
			}
			boolean head = "HEAD".equals(Exchange.this.request.method());
			long length = (whole && !head) ? this.heldBytes : this.reply.bodyLength();
			if (length >= 0) {
				response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
				return;
			}
			if (!head) {
				response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
			}
		}

		private void pass(byte[] content) {
			if (content.length > 0) {
				emit(new DefaultHttpContent(Unpooled.wrappedBuffer(content)), content.length);
			}
		}

		private void complete() {
			emit(LastHttpContent.EMPTY_LAST_CONTENT, 0);
			long now = Exchange.this.service.fabric().now();
			boolean late = now > Exchange.this.objectiveAt;
			if (late || this.reply.status() >= SERVER_ERROR || DecisionLog.isSampled(Exchange.this.request.id())) {
				Exchange.this.service.fabric()
					.log()
					.log(LogEvent.REQUEST_DONE, "request", Exchange.this.request.id(), "route", routeName(), "target",
							this.target.id(), "status", this.reply.status(), "late", late, "after_ms", age(),
							"target_ms", now - this.sentAt, "tried", Exchange.this.tried.size());
			}
			finish();
		}

		@Override
		public void credit(int bytes) {
			this.bodyCredit += bytes;
			if (isCurrent()) {
				pump();
			}
		}

		@Override
		public void failed(CallFailure failure) {
			if (!isCurrent()) {
				return;
			}
			boolean lost = failure.reason() == FailureReason.LINK_LOST;
			attemptFailed(this, (lost && hasSurelyNotRun())
					? CallFailure.notSent(FailureReason.LINK_LOST, 0, HomeLoad.UNKNOWN) : failure);
		}

		private boolean isCurrent() {
			return Exchange.this.attempt == this && !Exchange.this.ended;
		}

	}

}
