package org.eelgrasspitch.cli;

import java.util.List;

/**
 * Renders the burn rate report as a self-contained HTML page: a table with two bars per
 * operation, drawn as inline SVG. Bars are truncated at a burn rate of
 * {@link #MAX_BURN_RATE}. The vertical line marks a burn rate of 1, at which the error
 * budget lasts exactly for the period of the objective.
 */
final class BurnRatePage {

	private static final double MAX_BURN_RATE = 10;

	/** Length of a bar at {@link #MAX_BURN_RATE}, in pixels. */
	private static final int MAX_BAR_LENGTH = 300;

	/** Height of one bar, in pixels. */
	private static final int BAR_HEIGHT = 8;

	private BurnRatePage() {
	}

	static String render(List<ReportCommand.OperationBurnRate> burnRates) {
		StringBuilder page = new StringBuilder("""
				<!DOCTYPE html><html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
				body{font-family:sans-serif;margin:2em}td,th{padding:.3em .8em;text-align:right}
				td:first-child,th:first-child{text-align:left}tr:nth-child(even){background:#f4f4f4}
				</style></head><body><h1>Service-level burn</h1><table><tr><th>operation</th><th>objective</th>
				<th>good, 1 h</th><th>bad, 1 h</th><th>burn, 5 min</th><th>burn, 1 h</th><th>budget left, 1 h</th>
				<th>5 min above, 1 h below; the line is 1</th></tr>
				""");
		burnRates.forEach((burnRate) -> page.append(row(burnRate)));
		return page.append("</table></body></html>\n").toString();
	}

	private static String row(ReportCommand.OperationBurnRate burnRate) {
		return "<tr><td>%s</td><td>%.1f%%</td><td>%d</td><td>%d</td><td>%.2f</td><td>%.2f</td><td>%.0f%%</td><td>%s</td></tr>%n"
			.formatted(burnRate.operation(), burnRate.objectivePerMille() / 10.0, burnRate.hour().good(),
					burnRate.hour().bad(), burnRate.shortRate(), burnRate.longRate(), 100 * burnRate.budgetLeft(),
					bars(burnRate));
	}

	private static String bars(ReportCommand.OperationBurnRate burnRate) {
		int lineX = barLength(1);
		return """
				<svg width="%d" height="%d" role="img" aria-label="burn rates"><rect width="%d" height="%d" fill="#c60"/>
				<rect y="%d" width="%d" height="%d" fill="#069"/><line x1="%d" x2="%d" y2="%d" stroke="#000"/></svg>"""
			.formatted(MAX_BAR_LENGTH, 2 * BAR_HEIGHT, barLength(burnRate.shortRate()), BAR_HEIGHT, BAR_HEIGHT,
					barLength(burnRate.longRate()), BAR_HEIGHT, lineX, lineX, 2 * BAR_HEIGHT);
	}

	private static int barLength(double rate) {
		return (int) (Math.min(rate, MAX_BURN_RATE) / MAX_BURN_RATE * MAX_BAR_LENGTH);
	}

}
