package org.eelgrasspitch.mesh;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What the targets have stated about themselves in the answers that a node has passed on.
 * <p>
 * A statement belongs to one start of a target, so a target that starts again under its
 * identifier has stated nothing. It outlives the target's published entry, because an
 * outage or an older copy of the source can remove and restore the entry of a target that
 * is leaving.
 * <p>
 * Not thread-safe; callers must synchronize.
 */
public final class KnownStatements {

	/** Maximum number of remembered targets; the least recently updated is dropped. */
	private static final int MAX_TARGETS = 4_096;

	private final Map<Start, TargetStatements> byStart = new LinkedHashMap<>();

	/**
	 * Records what an answer states.
	 * @param target the target that answered
	 * @param statement the statement
	 * @param sentAtMillis monotonic time at which the answered request was sent, in
	 * milliseconds
	 * @param now current monotonic time in milliseconds
	 */
	public void record(TargetEntry target, TargetStatement statement, long sentAtMillis, long now) {
		Start start = Start.of(target);
		TargetStatements known = this.byStart.remove(start);
		if (known == null) {
			if (statement.limitPerSecond().isEmpty() && !statement.leaving()) {
				return;
			}
			known = new TargetStatements();
		}
		known.record(statement, sentAtMillis, now);
		if (known.isLimited() || known.isLeaving()) {
			this.byStart.put(start, known);
			dropOldest();
		}
	}

	/**
	 * Returns the limit that a target has named.
	 * @param target the target
	 * @return requests per second from all nodes together;
	 * {@link TargetStatements#NO_LIMIT} if it names none or none is known
	 */
	public double limitPerSecond(TargetEntry target) {
		TargetStatements known = this.byStart.get(Start.of(target));
		return (known != null) ? known.limitPerSecond() : TargetStatements.NO_LIMIT;
	}

	/**
	 * Returns whether a target has stated that it is about to stop.
	 * @param target the target
	 * @return true from the first such answer until the target starts again
	 */
	public boolean isLeaving(TargetEntry target) {
		TargetStatements known = this.byStart.get(Start.of(target));
		return known != null && known.isLeaving();
	}

	private void dropOldest() {
		if (this.byStart.size() > MAX_TARGETS) {
			this.byStart.remove(this.byStart.keySet().iterator().next());
		}
	}

	/**
	 * A start of a target.
	 *
	 * @param targetId identifier of the target
	 * @param startUnixMillis time of the start; 0 if not published
	 */
	private record Start(String targetId, long startUnixMillis) {

		static Start of(TargetEntry target) {
			return new Start(target.id(), target.startUnixMillis());
		}

	}

}
