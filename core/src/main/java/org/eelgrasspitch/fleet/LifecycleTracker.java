package org.eelgrasspitch.fleet;

import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.chart.StateChart;
import org.eelgrasspitch.chart.Transition;

/**
 * Runs the state chart {@code node-life} and stores the evidence on which it depends: the
 * latest time at which the platform is known to have confirmed the text held or a later
 * one that a peer holds.
 */
final class LifecycleTracker {

	private static final long NEVER = Long.MIN_VALUE;

	private final FleetSettings settings;

	private final StateChart<LifecycleState, LifecycleEvent, LifecycleAction> chart = StateChart.load("node-life",
			LifecycleState.class, LifecycleEvent.class, LifecycleAction.class);

	private LifecycleState state = this.chart.initial();

	/** State change that was not reported yet; null when there is none. */
	private LifecycleState unreportedState;

	/** When the platform last confirmed the text, in monotonic milliseconds. */
	private long evidenceAt = NEVER;

	/**
	 * Nonce that answers must carry to count as evidence while starting or confirming.
	 */
	private long nonce;

	/** Deadline of the confirming state in monotonic milliseconds; unused in others. */
	private long confirmUntil;

	LifecycleTracker(FleetSettings settings, long nonce) {
		this.settings = settings;
		this.nonce = nonce;
	}

	LifecycleState state() {
		return this.state;
	}

	long nonce() {
		return this.nonce;
	}

	/**
	 * Records that the platform confirmed the text at this time.
	 */
	void recordEvidence(long now) {
		this.evidenceAt = now;
	}

	/**
	 * Records a peer's evidence, unless the message may have been buffered since before a
	 * pause.
	 */
	void recordEvidence(PeerMessage.Status status, long now) {
		boolean needsNonce = this.state == LifecycleState.STARTING || this.state == LifecycleState.CONFIRMING;
		if (status.evidenceAgeMillis() < 0 || (needsNonce && status.nonce() != this.nonce)) {
			return;
		}
		this.evidenceAt = Math.max(this.evidenceAt, now - status.evidenceAgeMillis());
	}

	boolean hasFreshEvidence(long now) {
		return this.evidenceAt != NEVER && now - this.evidenceAt < this.settings.evidenceMillis();
	}

	long evidenceAgeMillis(long now) {
		return hasFreshEvidence(now) ? now - this.evidenceAt : PeerMessage.Status.NO_EVIDENCE;
	}

	boolean isConfirmOverdue(long now) {
		return this.state == LifecycleState.CONFIRMING && now >= this.confirmUntil;
	}

	Optional<LifecycleState> takeChange() {
		Optional<LifecycleState> taken = Optional.ofNullable(this.unreportedState);
		this.unreportedState = null;
		return taken;
	}

	List<LifecycleAction> fire(LifecycleEvent event, long now, long newNonce) {
		if (event == LifecycleEvent.PAUSED) {
			this.evidenceAt = NEVER;
			this.nonce = newNonce;
		}
		Optional<Transition<LifecycleState, LifecycleAction>> transition = this.chart.next(this.state, event);
		if (transition.isEmpty()) {
			return List.of();
		}
		LifecycleState nextState = transition.get().nextState();
		if (nextState == LifecycleState.CONFIRMING) {
			this.confirmUntil = now + this.settings.confirmMillis();
		}
		this.unreportedState = (nextState != this.state) ? nextState : this.unreportedState;
		this.state = nextState;
		return transition.get().actions();
	}

}
