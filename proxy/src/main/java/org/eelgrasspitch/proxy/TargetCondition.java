package org.eelgrasspitch.proxy;

import java.net.InetSocketAddress;
import java.util.function.DoubleConsumer;

import org.eelgrasspitch.mesh.TargetStatement;
import org.eelgrasspitch.mesh.TargetStatements;

/**
 * What the target of this VM has stated about itself since it was published, with a log
 * line for each change.
 */
final class TargetCondition {

	private final ProxyContext context;

	/** Told each new limit, in requests per second. */
	private final DoubleConsumer limitListener;

	private TargetStatements statements = new TargetStatements();

	TargetCondition(ProxyContext context, DoubleConsumer limitListener) {
		this.context = context;
		this.limitListener = limitListener;
	}

	/**
	 * Forgets all statements, because another target is published.
	 */
	void reset() {
		this.statements = new TargetStatements();
		this.limitListener.accept(TargetStatements.NO_LIMIT);
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
		}
	}

	/**
	 * Adopts a limit that an entry node knows. This node may have started after the
	 * target named it.
	 * @param perSecond requests per second; {@link TargetStatements#NO_LIMIT} for none
	 */
	void adoptLimit(double perSecond) {
		double formerLimit = this.statements.limitPerSecond();
		this.statements.adoptLimit(perSecond);
		reportLimitChange(formerLimit, "peer");
	}

	private void reportLimitChange(double formerLimit, String source) {
		if (this.statements.limitPerSecond() != formerLimit) {
			logLimit(source);
			this.limitListener.accept(this.statements.limitPerSecond());
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
