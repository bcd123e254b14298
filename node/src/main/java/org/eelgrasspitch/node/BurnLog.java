package org.eelgrasspitch.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.eelgrasspitch.misc.TimeSource;
import org.eelgrasspitch.request.BurnRateMeter;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.text.Operation;
import org.eelgrasspitch.text.RouteKey;
import org.eelgrasspitch.text.Snapshot;

/**
 * Records how callers' requests ended against the objectives of the text.
 */
final class BurnLog {

	private static final int SERVER_ERROR = 500;

	private final TimeSource time;

	private final NodeMetrics metrics;

	/** Counts; guarded by its own lock. */
	private final BurnRateMeter meter = new BurnRateMeter();

	BurnLog(TimeSource time, NodeMetrics metrics) {
		this.time = time;
		this.metrics = metrics;
	}

	void ended(RouteKey route, CallOutcome outcome) {
		boolean good = outcome instanceof CallOutcome.Answered answered && answered.status() < SERVER_ERROR;
		this.metrics.objective(route, good);
		synchronized (this.meter) {
			this.meter.record(route, good, this.time.monotonicMillis());
		}
	}

	List<BurnRow> rows(Snapshot snapshot) {
		long now = this.time.monotonicMillis();
		List<BurnRow> rows = new ArrayList<>();
		synchronized (this.meter) {
			snapshot.routes().forEach((key, route) -> rows.add(row(key, route.operation(), now)));
		}
		rows.sort(Comparator.comparing(BurnRow::service).thenComparing(BurnRow::operation));
		return rows;
	}

	private BurnRow row(RouteKey key, Operation operation, long now) {
		BurnRateMeter.Counts brief = this.meter.counts(key, BurnRateMeter.SHORT_WINDOW_MILLIS, now);
		BurnRateMeter.Counts whole = this.meter.counts(key, BurnRateMeter.LONG_WINDOW_MILLIS, now);
		return new BurnRow(key.service(), key.operation(), operation.objectivePerMille(), brief.good(), brief.bad(),
				whole.good(), whole.bad());
	}

}
