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
 * Records callers' requests as good or bad with respect to the objectives in the
 * configuration text. A request is good if it was answered with a status below 500; any
 * other outcome, also a late one, is bad. Requests that {@link EntryService} rejects
 * before an {@link EntryCall} starts are not counted.
 */
final class ObjectiveRecorder {

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	private final TimeSource time;

	private final NodeMetrics metrics;

	/** Guarded by its own lock. */
	private final BurnRateMeter meter = new BurnRateMeter();

	ObjectiveRecorder(TimeSource time, NodeMetrics metrics) {
		this.time = time;
		this.metrics = metrics;
	}

	void record(RouteKey route, CallOutcome outcome) {
		boolean good = outcome instanceof CallOutcome.Answered answered && answered.status() < MIN_SERVER_ERROR_STATUS;
		this.metrics.countObjectiveEvent(route, good);
		synchronized (this.meter) {
			this.meter.record(route, good, this.time.monotonicMillis());
		}
	}

	List<ObjectiveCounts> rows(Snapshot snapshot) {
		long now = this.time.monotonicMillis();
		List<ObjectiveCounts> rows = new ArrayList<>();
		synchronized (this.meter) {
			snapshot.routes().forEach((key, route) -> rows.add(row(key, route.operation(), now)));
		}
		rows.sort(Comparator.comparing(ObjectiveCounts::service).thenComparing(ObjectiveCounts::operation));
		return rows;
	}

	private ObjectiveCounts row(RouteKey key, Operation operation, long now) {
		BurnRateMeter.Counts shortWindow = this.meter.counts(key, BurnRateMeter.SHORT_WINDOW_MILLIS, now);
		BurnRateMeter.Counts longWindow = this.meter.counts(key, BurnRateMeter.LONG_WINDOW_MILLIS, now);
		return new ObjectiveCounts(key.service(), key.operation(), operation.objectivePerMille(), shortWindow.good(),
				shortWindow.bad(), longWindow.good(), longWindow.bad());
	}

}
