package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.misc.EnumNames;

/**
 * A call at the home of its target: first in the home's queue, then on a connection to
 * the target. It is sent to the target only after everything that has been received by
 * then is handled, because its cancellation may be behind it; a node that is behind also
 * reads what it has not received yet ({@link CallListener#isAwaited}). Its request body
 * is buffered until the connection accepts it; the entry node sends at most
 * {@link CallListener#WINDOW_BYTES} ahead.
 */
final class HomeCall implements CallHandle {

	private final HomeService home;

	private final CallHead head;

	/** Parts of the request body that wait for the connection. */
	private final Deque<byte[]> body = new ArrayDeque<>();

	/**
	 * All parts of the request body, for the fingerprint; empty once they exceed
	 * {@link CallListener#WINDOW_BYTES}.
	 */
	private final List<byte[]> keptParts = new ArrayList<>();

	/** Length of the request body received so far. */
	private long bodyBytes;

	/** Receives the response; null after the entry node has cancelled the call. */
	private CallListener listener;

	/**
	 * Connection to which the call has been written; null before that and after its end.
	 */
	private TargetConnection connection;

	private State state = State.WAITING;

	private boolean bodyComplete;

	private final long receivedAtMillis;

	/** Monotonic time at which the call got its slot, in milliseconds; 0 before. */
	private long claimedAtMillis;

	/** Whether the call may start, and does so unless it is cancelled before. */
	private boolean startPermitted;

	private final CallLog log;

	HomeCall(HomeService home, CallHead head, CallListener listener, CallLog log, long receivedAtMillis) {
		this.log = log;
		this.receivedAtMillis = receivedAtMillis;
		this.home = home;
		this.head = head;
		this.listener = listener;
		this.bodyComplete = !head.hasBody();
	}

	CallHead head() {
		return this.head;
	}

	CallLog log() {
		return this.log;
	}

	String loggedState() {
		return EnumNames.lowerCase(this.state);
	}

	boolean isEnded() {
		return this.state == State.ENDED;
	}

	boolean isWaiting() {
		return this.state == State.WAITING;
	}

	boolean isAbandoned() {
		return this.listener == null;
	}

	boolean isBodyComplete() {
		return this.bodyComplete && this.body.isEmpty();
	}

	long receivedAtMillis() {
		return this.receivedAtMillis;
	}

	long claimedAtMillis() {
		return this.claimedAtMillis;
	}

	/**
	 * Records that the call has got a slot. If it is not idempotent, asks the entry node
	 * for permission to start it; otherwise starts it.
	 * @param now current monotonic time in milliseconds
	 */
	void claim(long now) {
		this.claimedAtMillis = now;
		this.state = State.CLAIMED;
		if (this.head.idempotent()) {
			start();
			return;
		}
		this.listener.startRequested();
	}

	boolean isClaimed() {
		return this.state == State.CLAIMED;
	}

	@Override
	public void start() {
		if (this.state == State.CLAIMED && !this.startPermitted) {
			this.startPermitted = true;
			this.home.afterReceived(this::startUnlessCancelled);
		}
	}

	/**
	 * Handles a cancellation that has arrived and is not read, if there may be one.
	 */
	void cancelIfUnawaited() {
		if (this.listener == null || !this.home.context().watch().isBehind()) {
			return;
		}
		boolean awaited = this.listener.isAwaited();
		// The cancellation may have been among what was read.
		if (!awaited && this.listener != null) {
			cancel();
		}
		if (this.listener == null) {
			this.home.context().metrics().departureFound(true);
		}
	}

	private void startUnlessCancelled() {
		cancelIfUnawaited();
		if (this.state == State.CLAIMED) {
			this.state = State.RUNNING;
			this.home.startPermitted(this);
		}
	}

	void useConnection(TargetConnection newConnection) {
		this.connection = newConnection;
		pump();
	}

	/**
	 * Writes buffered parts of the request body while the connection is writable.
	 */
	void pump() {
		while (this.connection != null && !this.body.isEmpty() && this.connection.isWritable()) {
			byte[] chunk = this.body.poll();
			this.connection.writeBody(chunk);
			if (this.listener != null) {
				this.listener.credit(chunk.length);
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
			keep(content);
		}
		this.bodyComplete = last;
		pump();
	}

	private void keep(byte[] content) {
		this.bodyBytes += content.length;
		this.keptParts.add(content);
		if (this.bodyBytes > CallListener.WINDOW_BYTES) {
			this.keptParts.clear();
		}
	}

	/**
	 * Returns the value by which entry nodes recognise the request.
	 * @return the fingerprint; empty if the body is incomplete or too long
	 */
	Optional<Digest> fingerprint() {
		if (!this.bodyComplete || this.bodyBytes > CallListener.WINDOW_BYTES) {
			return Optional.empty();
		}
		ByteArrayOutputStream content = new ByteArrayOutputStream((int) this.bodyBytes);
		this.keptParts.forEach(content::writeBytes);
		return Optional.of(Fingerprints.of(this.head.method(), this.head.header(HttpHeaderNames.HOST.toString()),
				this.head.uri(), this.head.header(this.home.headerNames().callerService()), content.toByteArray()));
	}

	@Override
	public void credit(int bytes) {
		if (this.connection != null) {
			this.connection.credit(bytes);
		}
	}

	@Override
	public void cancel() {
		this.listener = null;
		this.home.cancelled(this, this.head.idempotent());
	}

	@Override
	public void supersede() {
		this.listener = null;
		this.home.cancelled(this, false);
	}

	void replied(ReplyHead reply) {
		if (this.listener != null) {
			this.listener.replied(reply);
		}
	}

	void responseData(byte[] content, boolean last) {
		if (last) {
			end();
		}
		if (this.listener != null) {
			this.listener.data(content, last);
			return;
		}
		// Nobody reads the response any more, but the target has to finish it.
		if (this.connection != null && !this.connection.drop(content.length)) {
			this.home.abandonedTooLong(this);
		}
	}

	void failed(CallFailure failure) {
		if (isEnded()) {
			return;
		}
		end();
		if (this.listener != null) {
			this.listener.failed(failure);
		}
	}

	/**
	 * Returns whether the target has begun its response and has not ended it by the
	 * deadline. It works no longer than that, so no work is lost with its connection.
	 * @param now current monotonic time in milliseconds
	 * @return true if nothing more is to be expected of the target
	 */
	boolean hasStopped(long now) {
		return this.connection != null && this.connection.isResponseStarted() && now >= this.head.deadlineAtMillis();
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
	 * State of a call.
	 */
	private enum State {

		/** In the home's queue. */
		WAITING,

		/** Has got a slot, and waits for permission to start or for its start. */
		CLAIMED,

		/** May be sent to the target; its connection may not be open yet. */
		RUNNING,

		/** Completed, failed or cancelled. */
		ENDED

	}

}
