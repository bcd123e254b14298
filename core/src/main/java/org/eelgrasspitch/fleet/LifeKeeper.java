package org.eelgrasspitch.fleet;

import java.util.List;
import java.util.Optional;

import org.eelgrasspitch.chart.StateChart;
import org.eelgrasspitch.chart.Transition;

/**
 * Interprets the chart {@code node-life} and keeps the evidence on which it depends: the
 * latest time at which the platform is known to have confirmed the text held.
 */
final class LifeKeeper {

	private static final long NEVER = Long.MIN_VALUE;

	private final FleetSettings settings;

	private final StateChart<LifeState, LifeEvent, LifeAction> chart = StateChart.load("node-life", LifeState.class,
			LifeEvent.class, LifeAction.class);

	private LifeState state = this.chart.initial();

	/** The state to report; null when it was reported. */
	private LifeState change;

	/** When the platform last confirmed the text, in monotonic milliseconds. */
	private long evidenceAt = NEVER;

	/** Nonce of the queries whose answers count while confirming. */
	private long nonce;

	/** End of the confirming state; meaningful only in it. */
	private long confirmUntil;

	LifeKeeper(FleetSettings settings, long nonce) {
		this.settings = settings;
		this.nonce = nonce;
	}

	LifeState state() {
		return this.state;
	}

	long nonce() {
		return this.nonce;
	}

	/**
	 * Takes note that the platform itself confirmed the text just now.
	 */
	void evidence(long now) {
		this.evidenceAt = now;
	}

	/**
	 * Takes over a peer's evidence, unless the message may have waited since before a
	 * pause.
	 */
	void evidence(PeerMessage.Status status, long now) {
		boolean needsNonce = this.state == LifeState.STARTING || this.state == LifeState.CONFIRMING;
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
		return this.state == LifeState.CONFIRMING && now >= this.confirmUntil;
	}

	Optional<LifeState> takeChange() {
		Optional<LifeState> taken = Optional.ofNullable(this.change);
		this.change = null;
		return taken;
	}

	List<LifeAction> fire(LifeEvent event, long now, long freshNonce) {
		if (event == LifeEvent.PAUSED) {
			this.evidenceAt = NEVER;
			this.nonce = freshNonce;
		}
		Optional<Transition<LifeState, LifeAction>> transition = this.chart.next(this.state, event);
		if (transition.isEmpty()) {
			return List.of();
		}
		LifeState target = transition.get().target();
		if (target == LifeState.CONFIRMING) {
			this.confirmUntil = now + this.settings.confirmMillis();
		}
		this.change = (target != this.state) ? target : this.change;
		this.state = target;
		return transition.get().actions();
	}

}
