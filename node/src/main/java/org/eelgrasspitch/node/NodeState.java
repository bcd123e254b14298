package org.eelgrasspitch.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.eelgrasspitch.fleet.LifecycleState;
import org.eelgrasspitch.text.Snapshot;
import org.eelgrasspitch.text.VmList;

/**
 * State that the control thread publishes to request threads: immutable values in
 * volatile fields.
 * <p>
 * It also detects a pause of the process. If the control thread has not been active for
 * the pause limit, the process may just have been resumed, and the published state may be
 * outdated even if it is {@link LifecycleState#SERVING}. Requests are then deferred as in
 * {@link LifecycleState#CONFIRMING} until the control thread has been active again and
 * the state is not confirming.
 */
final class NodeState {

	private final long pauseMillis;

	/** The snapshot for new requests; null before the first. */
	private volatile Snapshot snapshot;

	private volatile VmList vms = VmList.EMPTY;

	private volatile LifecycleState lifecycle = LifecycleState.STARTING;

	/**
	 * Time at which the control thread began to handle the last event that it has
	 * finished, in monotonic milliseconds.
	 */
	private volatile long lastActivityAt;

	/** Actions that resume deferred requests; guarded by this object's lock. */
	private List<Runnable> deferredRequests = new ArrayList<>();

	/** Receives each new VM list; set before the control thread starts. */
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
	 * Returns whether the control thread has been inactive for the pause limit, which
	 * indicates that the process was paused.
	 * @param now current monotonic time in milliseconds
	 * @return true if the published state may be outdated
	 */
	boolean isPaused(long now) {
		return now - this.lastActivityAt >= this.pauseMillis;
	}

	/**
	 * Defers a request while the configuration text is being confirmed or the process was
	 * paused.
	 * @param resume called on the control thread once the request can continue
	 * @param now current monotonic time in milliseconds
	 * @return true if the request was deferred, false if it can continue
	 */
	synchronized boolean deferUntilConfirmed(Runnable resume, long now) {
		if (this.lifecycle != LifecycleState.CONFIRMING && !isPaused(now)) {
			return false;
		}
		this.deferredRequests.add(resume);
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
	 * Records that the control thread has finished an event, and resumes the deferred
	 * requests unless the state is confirming.
	 * @param now time at which the control thread began to handle the event, in monotonic
	 * milliseconds
	 */
	void recordActivity(long now) {
		List<Runnable> resumed;
		synchronized (this) {
			this.lastActivityAt = now;
			if (this.lifecycle == LifecycleState.CONFIRMING || this.deferredRequests.isEmpty()) {
				return;
			}
			resumed = this.deferredRequests;
			this.deferredRequests = new ArrayList<>();
		}
		resumed.forEach(Runnable::run);
	}

}
