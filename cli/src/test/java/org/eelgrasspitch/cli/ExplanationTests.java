package org.eelgrasspitch.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests explanations of requests from log lines in the format that nodes write.
 */
public class ExplanationTests {

	private static final String TARGET_SEEN = "{\"ts\":1000,\"vm\":\"a-1\",\"event\":\"target_seen\",\"target\":\"i-1\","
			+ "\"service\":\"s\",\"slots\":9}";

	private static final String CALL_FAILED = "{\"ts\":2010,\"vm\":\"b-1\",\"event\":\"call_failed\",\"request\":\"q1\","
			+ "\"target\":\"i-1\",\"reason\":\"target_broke_off\",\"may_have_run\":true,\"after_ms\":8}";

	private static final String REQUEST_FAILED = "  3.1 a-1 {\"ts\":2012,\"vm\":\"a-1\",\"event\":\"request_failed\","
			+ "\"request\":\"q1\",\"status\":502,\"reason\":\"target_broke_off\",\"reached\":1,\"after_ms\":12}";

	private static final String OTHER_REQUEST = "{\"ts\":2011,\"vm\":\"a-1\",\"event\":\"request_done\",\"request\":\"q11\"}";

	@Test
	public void listsBothHopsInOrderOfTimeWithTheCause() {
		List<String> lines = explain("q1", REQUEST_FAILED, CALL_FAILED, TARGET_SEEN, OTHER_REQUEST);
		Assert.assertEquals(lines.size(), 4, lines.toString());
		Assert.assertTrue(lines.get(1).contains("b-1") && lines.get(1).contains("call_failed"), lines.get(1));
		Assert.assertEquals(lines.getLast(),
				"cause: failed with status 502 after 12 ms and may have run: target_broke_off (targets reached: 1)");
	}

	@Test
	public void reportsTheFailedCallOfTheTarget() {
		List<String> lines = explain("q2",
				"{\"ts\":1,\"vm\":\"a\",\"event\":\"request_refused\",\"request\":\"q2.7\",\"service\":\"ledger\","
						+ "\"reason\":\"overloaded\",\"tried\":2,\"after_ms\":3}",
				"{\"ts\":2,\"vm\":\"b\",\"event\":\"request_done\",\"request\":\"q2\",\"status\":500,\"late\":false,"
						+ "\"after_ms\":90}");
		Assert.assertEquals(lines.getLast(),
				"cause: answered with status 500 after 90 ms, after a call of its target to "
						+ "ledger ended with overloaded");
	}

	@Test
	public void reportsLastKnownStateOfTheTarget() {
		List<String> lines = explain("q3", TARGET_SEEN, "{\"ts\":1400,\"vm\":\"a-1\",\"event\":\"request_retried\","
				+ "\"request\":\"q3\",\"target\":\"i-1\",\"reason\":\"overloaded\"}");
		Assert.assertTrue(lines.get(2).contains("known then: target_seen") && lines.get(2).contains("400 ms before"),
				lines.toString());
		Assert.assertEquals(lines.getLast(),
				"cause: these logs do not contain the outcome of this request at its entry node");
	}

	@Test
	public void acceptsIncompleteLogsAndReportsUnreadableLines() {
		List<String> lines = explain("q1", REQUEST_FAILED, "{\"ts\":2000,\"vm\":\"b-1\",\"eve", "SLF4J: plain text");
		Assert.assertTrue(lines.contains("1 lines could not be read, the first one at log:2"), lines.toString());
		Assert.assertTrue(lines.getLast().startsWith("cause: failed with status 502"), lines.toString());
	}

	@Test
	public void explainsARequestWithoutARoute() {
		Assert.assertEquals(
				explain("q4",
						"{\"ts\":1,\"vm\":\"a\",\"event\":\"request_refused\",\"request\":\"q4\","
								+ "\"status\":404,\"reason\":\"no route\",\"host\":\"h\",\"uri\":\"/x\"}")
					.getLast(),
				"cause: refused without having run: no route (targets tried: 0)");
	}

	@Test
	public void reportsWhereALateRequestSpentItsTime() {
		Assert.assertEquals(explain("q5",
				"{\"ts\":5,\"vm\":\"b\",\"event\":\"call_done\",\"request\":\"q5\",\"entry\":\"a\",\"good\":true,"
						+ "\"late\":true,\"waited_ms\":700,\"target_ms\":90}",
				"{\"ts\":6,\"vm\":\"a\",\"event\":\"request_done\",\"request\":\"q5\",\"status\":200,"
						+ "\"late\":true,\"after_ms\":801}")
			.getLast(),
				"cause: answered with status 200 after 801 ms, late: it waited 700 ms at its home and took 90 ms "
						+ "at the target");
	}

	@Test
	public void jsonHasTheSameContent() {
		Explanation explanation = new Explanation("q1");
		explanation.add("log:1", TARGET_SEEN);
		explanation.add("log:2", CALL_FAILED.replace("b-1", "a-1"));
		explanation.add("log:3", "{\"broken");
		String json = explanation.toJson();
		Assert.assertTrue(json.startsWith("{\"request\":\"q1\",\"decisions\":[{\"ts\":2010,\"vm\":\"a-1\","), json);
		Assert.assertTrue(json.contains("\"known\":{\"ts\":1000") && json.contains("\"age_ms\":1010"), json);
		Assert.assertTrue(
				json.contains("\"unreadable\":[\"log:3\"],\"cause\":\"these logs do not contain the outcome of"), json);
	}

	@Test
	public void explainsRecordedRequestsOfThreeKinds() throws IOException {
		Assert.assertEquals(explainRecordedLog("refused", "dbe8671cf416e310"),
				"cause: refused without having run after 19 ms: overloaded (targets tried: 3)");
		Assert.assertEquals(explainRecordedLog("unknown", "94feaa4a65b3d30e"),
				"cause: failed with status 502 after 2025 ms and may have run: link_lost (targets reached: 1)");
		Assert.assertEquals(explainRecordedLog("no-route", "22de035e870fd91b"),
				"cause: refused without having run: no route (targets tried: 0)");
	}

	private static String explainRecordedLog(String name, String request) throws IOException {
		Path log = Path.of("src", "test", "resources", "explain", name + ".log");
		return explain(request, Files.readAllLines(log).toArray(String[]::new)).getLast();
	}

	@Test
	public void reportsThatNoLogHasTheRequest() {
		Explanation explanation = new Explanation("q9");
		explanation.add("log:1", TARGET_SEEN);
		Assert.assertTrue(explanation.toLines().getLast().contains("only sampled"));
		Assert.assertFalse(explanation.isFound());
	}

	private static List<String> explain(String request, String... lines) {
		Explanation explanation = new Explanation(request);
		for (int i = 0; i < lines.length; i++) {
			explanation.add("log:" + (i + 1), lines[i]);
		}
		return explanation.toLines();
	}

}
