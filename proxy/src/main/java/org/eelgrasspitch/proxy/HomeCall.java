package org.eelgrasspitch.proxy;

import java.util.ArrayDeque;
import java.util.Deque;

import org.eelgrasspitch.misc.EnumNames;

/**
 * A call at the home of its target: first in the home's queue, then on a connection to
 * the target. Its body is kept until the target takes it; the entry sends no more than
 * {@link CallSink#WINDOW_BYTES} ahead.
 */
final class HomeCall implements CallFlow {

	private final Home home;

	private final CallHead head;

	private final Deque<byte[]> body = new ArrayDeque<>();

	/** Receives the answer; null once the entry gave up. */
	private CallSink sink;

	/** The connection on which it runs; null while it waits and after its end. */
	private TargetConnection connection;

	private State state = State.WAITING;

	private boolean bodyComplete;

	private final long receivedAt;

	private long startedAt;

	private final CallLog log;

	HomeCall(Home home, CallHead head, CallSink sink, CallLog log, long receivedAt) {
		this.log = log;
		this.receivedAt = receivedAt;
		this.home = home;
		this.head = head;
		this.sink = sink;
		this.bodyComplete = !head.hasBody();
	}

	CallHead head() {
		return this.head;
	}

	CallLog log() {
		return this.log;
	}

	String stateWord() {
		return EnumNames.lowerCase(this.state);
	}

	boolean isEnded() {
		return this.state == State.ENDED;
	}

	boolean isWaiting() {
		return this.state == State.WAITING;
	}

	boolean isAbandoned() {
		return this.sink == null;
	}

	boolean isBodyComplete() {
		return this.bodyComplete && this.body.isEmpty();
	}

	long receivedAt() {
		return this.receivedAt;
	}

	long startedAt() {
		return this.startedAt;
	}

	/**
	 * Takes a slot.
	 * @param now current monotonic time in milliseconds
	 * @return true when it may be given to the target at once; false when its entry was
	 * asked for permission
	 */
	boolean claim(long now) {
		this.startedAt = now;
		if (this.head.idempotent()) {
			this.state = State.RUNNING;
			return true;
		}
		this.state = State.CLAIMED;
		this.sink.startAsked();
		return false;
	}

	boolean isClaimed() {
		return this.state == State.CLAIMED;
	}

	@Override
	public void start() {
		if (this.state == State.CLAIMED) {
			this.state = State.RUNNING;
			this.home.permitted(this);
		}
	}

	void sentOn(TargetConnection used) {
		this.connection = used;
		pump();
	}

	/**
	 * Gives the target what there is of the body.
	 */
	void pump() {
		while (this.connection != null && !this.body.isEmpty() && this.connection.isWritable()) {
			byte[] piece = this.body.poll();
			this.connection.writeBody(piece);
			if (this.sink != null) {
				this.sink.credit(piece.length);
			}
		}
		if (this.connection != null && isBodyComplete()) {
			this.connection.endBody();
		}
	}

	@Override
	public void data(byte[] content, boolean last) {
		if (isEnded() || this.bodyComplete) {
			return;
		}
		if (content.length > 0) {
			this.body.add(content);
		}
		this.bodyComplete = last;
		pump();
	}

	@Override
	public void credit(int bytes) {
		if (this.connection != null) {
			this.connection.credit(bytes);
		}
	}

	@Override
	public void cancel() {
		this.sink = null;
		this.home.cancelled(this, this.head.idempotent());
	}

	@Override
	public void supersede() {
		this.sink = null;
		this.home.cancelled(this, false);
	}

	void replied(ReplyHead reply) {
		if (this.sink != null) {
			this.sink.replied(reply);
		}
	}

	void answerData(byte[] content, boolean last) {
		if (last) {
			end();
		}
		if (this.sink != null) {
			this.sink.data(content, last);
			return;
		}
		// Nobody takes the answer any more, but the target is to finish it.
		credit(content.length);
	}

	void failed(CallFailure failure) {
		if (isEnded()) {
			return;
		}
		end();
		if (this.sink != null) {
			this.sink.failed(failure);
		}
	}

	TargetConnection connection() {
		return this.connection;
	}

	void end() {
		this.state = State.ENDED;
		this.connection = null;
		this.body.clear();
	}

	/**
	 * Where a call is in its life.
	 */
	private enum State {

		/** In the home's queue. */
		WAITING,

		/** A slot is taken; the entry is asked whether it may start. */
		CLAIMED,

		/** It is given to the target. */
		RUNNING,

		/** Answered, failed or given up. */
		ENDED

	}

}
