package org.eelgrasspitch.node;

import org.eelgrasspitch.request.CallOutcome;

/**
 * Label values for outcomes in metrics.
 */
final class OutcomeLabels {

	private OutcomeLabels() {
	}

	static String label(CallOutcome outcome) {
		return switch (outcome) {
			case CallOutcome.Answered answered -> "answered";
			case CallOutcome.NotRun notRun -> "not_run";
			case CallOutcome.Unknown unknown -> "unknown";
			case CallOutcome.Late late -> "late";
		};
	}

}
