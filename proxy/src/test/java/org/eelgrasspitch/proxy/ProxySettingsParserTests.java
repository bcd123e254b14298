package org.eelgrasspitch.proxy;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.eelgrasspitch.misc.Problem;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests that valid settings are read, unknown members are ignored and all problems are
 * reported together.
 */
public class ProxySettingsParserTests {

	static final String VALID_SETTINGS = """
			// a comment
			{"vm": "a-1", "failureDomain": "a", "service": "desk", "entryAddress": "10.0.0.1:1",
			"readinessAddress": "10.0.0.1:2", "linkAddress": "10.0.0.1:3", "metricsAddress": "10.0.0.1:4",
			"targetAddress": "10.0.0.1:5", "sourceAddress": "10.0.0.9:6", "stopSeconds": 6.5,
			"retryRatio": 0.2, "retryMinimum": 56, "retryWindowSeconds": 10, "fromTheFuture": [1]}""";

	@Test
	public void readsDurationsAndIgnoresUnknownMembers() {
		ProxySettings settings = parse(VALID_SETTINGS).get();
		Assert.assertEquals(settings.stopMillis(), 6_500);
		Assert.assertEquals(settings.logDetail(), LogDetail.DEFAULT);
		Assert.assertEquals(settings.logLinesPerSecond(), ProxySettings.DEFAULT_LOG_LINES_PER_SECOND);
		Assert.assertEquals(settings.retryWindowMillis(), 10_000);
		Assert.assertEquals(settings.linkAddress().getPort(), 3);
	}

	@Test
	public void readsLogDetailAndRate() {
		ProxySettings settings = parse(
				VALID_SETTINGS.replace("{\"vm\"", "{\"logDetail\": \"full\", \"logLinesPerSecond\": 7, \"vm\""))
			.get();
		Assert.assertEquals(settings.logDetail(), LogDetail.FULL);
		Assert.assertEquals(settings.logLinesPerSecond(), 7);
	}

	@Test
	public void readsTimesForTargetsThatLeaveOrNameALimit() {
		Assert.assertEquals(parse(VALID_SETTINGS).get().drainMillis(), ProxySettings.DEFAULT_DRAIN_MILLIS);
		Assert.assertEquals(parse(VALID_SETTINGS).get().settleMillis(), ProxySettings.DEFAULT_SETTLE_MILLIS);
		ProxySettings settings = parse(
				VALID_SETTINGS.replace("{\"vm\"", "{\"drainSeconds\": 1, \"settleSeconds\": 4.5, \"vm\""))
			.get();
		Assert.assertEquals(settings.drainMillis(), 1_000);
		Assert.assertEquals(settings.settleMillis(), 4_500);
	}

	@Test
	public void reportsEveryProblem() {
		List<Problem> problems = parse(VALID_SETTINGS.replace("\"10.0.0.1:1\"", "\"nowhere\"")
			.replace("\"retryRatio\": 0.2", "\"retryRatio\": 7")
			.replace("\"service\": \"desk\", ", "")).getLeft();
		Assert.assertEquals(problems.size(), 3, problems.toString());
	}

	@Test
	public void rejectsInvalidJsonAndMissingFile() {
		Assert.assertTrue(parse("vm: a-1").isLeft());
		Assert.assertTrue(ProxySettingsParser.read(Path.of("no-such-file")).isLeft());
	}

	private static Either<List<Problem>, ProxySettings> parse(String text) {
		return ProxySettingsParser.parse(text.getBytes(StandardCharsets.UTF_8));
	}

}
