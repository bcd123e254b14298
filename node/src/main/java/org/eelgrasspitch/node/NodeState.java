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

	private volatile LifecycleState lifecycle = LifecycleState.STARTING;

	/** When the control thread last finished an event, in monotonic milliseconds. */
	private volatile long lastActivityAt;

	/** Requests that wait for the next state; guarded by this object's lock. */
	private List<Runnable> waitingRequests = new ArrayList<>();

	/** Told about each new VM list; replaced before the control thread starts. */
	private volatile Consumer<VmList> vmsListener = (list) -> {
	};

	NodeState(long pauseMillis, long now) {
		this.pauseMillis = pauseMillis;
		this.lastActivityAt = now;
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

	LifecycleState lifecycle() {
		return this.lifecycle;
	}

	/**
	 * Tells whether this process has been paused and its control thread not run since.
	 * @param now current monotonic time in milliseconds
	 * @return true when nothing published here may be trusted yet
	 */
	boolean isPaused(long now) {
		return now - this.lastActivityAt >= this.pauseMillis;
	}

	/**
	 * Lets a request wait for the next state unless it can go on.
	 * @param resume called when the state changed
	 * @param now current monotonic time in milliseconds
	 * @return false when the request need not wait
	 */
	synchronized boolean deferUntilConfirmed(Runnable resume, long now) {
		if (this.lifecycle != LifecycleState.CONFIRMING && !isPaused(now)) {
			return false;
		}
		this.waitingRequests.add(resume);
		return true;
	}

	void setVmsListener(Consumer<VmList> listener) {
		this.vmsListener = listener;
	}

	void publish(Snapshot latest) {
		this.snapshot = latest;
	}

	void publish(VmList latest) {
		this.vms = latest;
		this.vmsListener.accept(latest);
	}

	void setLifecycle(LifecycleState state) {
		this.lifecycle = state;
	}

	/**
	 * Notes that the control thread has finished an event and resumes requests that no
	 * longer need to wait.
	 * @param now current monotonic time in milliseconds
	 */
	void recordActivity(long now) {
		List<Runnable> resumed;
		synchronized (this) {
			this.lastActivityAt = now;
			if (this.lifecycle == LifecycleState.CONFIRMING || this.waitingRequests.isEmpty()) {
				return;
			}
			resumed = this.waitingRequests;
			this.waitingRequests = new ArrayList<>();
		}
		resumed.forEach(Runnable::run);
	}

}
