package org.eelgrasspitch.proxy;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

import org.eelgrasspitch.mesh.TargetStatement;
import org.eelgrasspitch.mesh.TargetStatements;

/**
 * Whether and how fast requests may be sent to the target of this VM, according to its
 * published entry and to what it has stated about itself in its answers.
 * <p>
 * A target that is published as draining, is not published any more or states that it is
 * leaving is drained by {@link DrainTimer}. The published entry of a target that leaves
 * may lag behind its answers, so the statement holds until another start is published.
 */
final class TargetCondition {

	private final ProxyContext context;

	/** Told what the target has stated after each change of its limit. */
	private final Consumer<TargetStatements> limitListener;

	/** Run when the target has stated that it is leaving. */
	private final Runnable leavingListener;

	private final DrainTimer drainTimer;

	private TargetStatements statements = new TargetStatements();

	/**
	 * Creates the condition of a target that has stated nothing.
	 * @param context shared dependencies
	 * @param limitListener told what the target has stated after each change of its limit
	 * @param leavingListener run when the target has stated that it is leaving
	 * @param drainedAction run when no more requests may be sent to the target
	 */
	TargetCondition(ProxyContext context, Consumer<TargetStatements> limitListener, Runnable leavingListener,
			Runnable drainedAction) {
		this.context = context;
		this.limitListener = limitListener;
		this.leavingListener = leavingListener;
		this.drainTimer = new DrainTimer(context.loop(), context.settings().drainMillis(), drainedAction);
	}

	/**
	 * Forgets all statements, because another target is published.
	 */
	void reset() {
		this.statements = new TargetStatements();
		this.limitListener.accept(this.statements);
	}

	/**
	 * Records what the target states about itself in an answer.
	 * @param statement the statement
	 * @param sentAtMillis monotonic time at which the answered call got its slot, in
	 * milliseconds
	 */
	void record(TargetStatement statement, long sentAtMillis) {
		double formerLimit = this.statements.limitPerSecond();
		boolean wasLeaving = this.statements.isLeaving();
		this.statements.record(statement, sentAtMillis, this.context.now());
		reportLimitChange(formerLimit, "answer");
		if (this.statements.isLeaving() && !wasLeaving) {
			this.context.log().logNodeEvent(LogEvent.TARGET_STATED_LEAVING, "address", address());
			this.drainTimer.updateAvailability(false);
			this.leavingListener.run();
		}
	}

	/**
	 * Updates the condition with the published state of the target.
	 * @param available whether the target is published and not draining
	 */
	void updateAvailability(boolean available) {
		this.drainTimer.updateAvailability(available && !this.statements.isLeaving());
	}

	/**
	 * Returns whether no more requests may be sent to the target.
	 * @return true from {@link DrainTimer}'s expiry
	 */
	boolean isDrained() {
		return this.drainTimer.isExpired();
	}

	/**
	 * Returns whether entry nodes must choose other targets.
	 * @return true if the target is drained or has stated that it is leaving
	 */
	boolean isLeaving() {
		return isDrained() || this.statements.isLeaving();
	}

	/**
	 * Adopts a limit that an entry node knows. This node may have started after the
	 * target named it.
	 * @param perSecond requests per second; {@link TargetStatements#NO_LIMIT} for none
	 */
	void adoptLimit(double perSecond) {
		double formerLimit = this.statements.limitPerSecond();
		this.statements.adoptLimit(perSecond, this.context.now());
		reportLimitChange(formerLimit, "peer");
	}

	private void reportLimitChange(double formerLimit, String source) {
		if (this.statements.limitPerSecond() != formerLimit) {
			logLimit(source);
			this.limitListener.accept(this.statements);
		}
	}

	/**
	 * Returns the limit that the target names.
	 * @return requests per second from all nodes together;
	 * {@link TargetStatements#NO_LIMIT} if it names none
	 */
	double limitPerSecond() {
		return this.statements.limitPerSecond();
	}

	/**
	 * Returns the limit that the target names, for the metrics.
	 * @return requests per second from all nodes together; 0 if it names none
	 */
	double reportedLimitPerSecond() {
		return this.statements.isLimited() ? this.statements.limitPerSecond() : 0;
	}

	private void logLimit(String source) {
		if (this.statements.isLimited()) {
			this.context.log()
				.logNodeEvent(LogEvent.TARGET_LIMITED, "address", address(), "per_second",
						this.statements.limitPerSecond(), "source", source);
			return;
		}
		this.context.log().logNodeEvent(LogEvent.TARGET_UNLIMITED, "address", address());
	}

	private InetSocketAddress address() {
		return this.context.settings().targetAddress();
	}

}
