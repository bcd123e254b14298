package org.eelgrasspitch.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests that the tables of docs/OPERATIONS.md list exactly the events and metrics of the
 * code. The names of the gauges that {@link ProxyNode} registers are repeated here.
 */
public class OperationsPageTests {

	private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");

	@Test
	public void everyEventHasARow() throws IOException {
		Set<String> events = Arrays.stream(LogEvent.values())
			.map(LogEvent::loggedName)
			.collect(Collectors.toCollection(TreeSet::new));
		Assert.assertEquals(rows("([a-z_]+)", "## Events", "## Metrics"), events);
	}

	@Test
	public void everyMetricHasARow() throws IOException {
		ProxyMetrics metrics = new ProxyMetrics();
		Set<String> gauges = Set.of("config_version", "targets", "links", "link_waiting_bytes", "source_reading",
				"active_requests", "running_calls", "waiting_calls", "crash_suspects", "quarantined_requests",
				"target_failure_share", "target_limit_per_second", "config_age_seconds", "targets_age_seconds",
				"source_lost", "log_sample_level", "log_lines_dropped");
		gauges.forEach((name) -> metrics.registerGauge(name, name, () -> 0));
		Assert.assertEquals(rows("(eelgrasspitch_[a-z_]+)", "## Metrics", "## Settings"),
				new TreeSet<>(metrics.names()));
	}

	private static Set<String> rows(String name, String from, String to) throws IOException {
		String page = Files.readString(PAGE);
		String part = page.substring(page.indexOf(from), page.indexOf(to));
		Matcher matcher = Pattern.compile("(?m)^\\| `" + name + "` \\|").matcher(part);
		Set<String> rows = new TreeSet<>();
		while (matcher.find()) {
			rows.add(matcher.group(1));
		}
		return rows;
	}

}
