package org.eelgrasspitch.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.eelgrasspitch.fleet.LifecycleState;
import org.eelgrasspitch.text.Snapshot;
import org.eelgrasspitch.text.VmList;

/**
 * What the control thread publishes to traffic threads: immutable values behind volatile
 * references.
 * <p>
 * Traffic threads also detect a pause here: when the control thread has not been alive
 * for longer than the pause bound, this process has just been woken, and what it knows
 * may be outdated although the state still says serving. Requests then wait as in
 * {@link LifecycleState#CONFIRMING}, until the control thread has published a state
 * again.
 */
final class NodeState {

	private final long pauseMillis;

	/** The snapshot for new requests; null before the first. */
	private volatile Snapshot snapshot;

	private volatile VmList vms = VmList.EMPTY;

	private volatile LifecycleState life = LifecycleState.STARTING;

	/** When the control thread last finished an event, in monotonic milliseconds. */
	private volatile long aliveAt;

	/** Requests that wait for the next state; guarded by this object's lock. */
	private List<Runnable> waiting = new ArrayList<>();

	/** Told about each new VM list; replaced before the control thread starts. */
	private volatile Consumer<VmList> vmsListener = (list) -> {
	};

	NodeState(long pauseMillis, long now) {
		this.pauseMillis = pauseMillis;
		this.aliveAt = now;
	}

	Optional<Snapshot> snapshot() {
		return Optional.ofNullable(this.snapshot);
	}

	long revision() {
		Snapshot current = this.snapshot;
		return (current != null) ? current.version().revision() : 0;
	}

	VmList vms() {
		return this.vms;
	}

	LifecycleState life() {
		return this.life;
	}

	/**
	 * Tells whether this process has been paused and its control thread not run since.
	 * @param now current monotonic time in milliseconds
	 * @return true when nothing published here may be trusted yet
	 */
	boolean isPaused(long now) {
		return now - this.aliveAt >= this.pauseMillis;
	}

	/**
	 * Lets a request wait for the next state unless it can go on.
	 * @param resume called when the state changed
	 * @param now current monotonic time in milliseconds
	 * @return false when the request need not wait
	 */
	synchronized boolean waitForConfirmation(Runnable resume, long now) {
		if (this.life != LifecycleState.CONFIRMING && !isPaused(now)) {
			return false;
		}
		this.waiting.add(resume);
		return true;
	}

	void listen(Consumer<VmList> listener) {
		this.vmsListener = listener;
	}

	void publish(Snapshot latest) {
		this.snapshot = latest;
	}

	void publish(VmList latest) {
		this.vms = latest;
		this.vmsListener.accept(latest);
	}

	void change(LifecycleState state) {
		this.life = state;
	}

	/**
	 * Notes that the control thread has finished an event and resumes requests that no
	 * longer need to wait.
	 * @param now current monotonic time in milliseconds
	 */
	void alive(long now) {
		List<Runnable> resumed;
		synchronized (this) {
			this.aliveAt = now;
			if (this.life == LifecycleState.CONFIRMING || this.waiting.isEmpty()) {
				return;
			}
			resumed = this.waiting;
			this.waiting = new ArrayList<>();
		}
		resumed.forEach(Runnable::run);
	}

}
