package org.eelgrasspitch.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.IntStream;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.eelgrasspitch.mesh.CallerLimits;
import org.eelgrasspitch.mesh.MeshConfig;
import org.eelgrasspitch.mesh.RouteTable;
import org.eelgrasspitch.mesh.TargetLoad;
import org.eelgrasspitch.mesh.TargetStatements;
import org.eelgrasspitch.misc.TimeSource;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that failed requests are logged in full, others are sampled and both are rate
 * limited, and that no headers, bodies or queries are logged.
 */
@Test(singleThreaded = true)
public class DecisionLogTests {

	private static final int LINES_PER_SECOND = 20;

	private static final int SAMPLED_SECONDS = 30;

	/** Requests per second in a burst. */
	private static final int BURST_REQUESTS = 5_000;

	private final SettableTime time = new SettableTime();

	private final List<String> lines = new ArrayList<>();

	private final Handler collector = new Handler() {
		@Override
		public void publish(LogRecord entry) {
			DecisionLogTests.this.lines.add(entry.getMessage());
		}

		@Override
		public void flush() {
		}

		@Override
		public void close() {
		}
	};

	@BeforeMethod
	public void collect() {
		this.lines.clear();
		Logger.getLogger("").addHandler(this.collector);
	}

	@AfterMethod
	public void stop() {
		Logger.getLogger("").removeHandler(this.collector);
	}

	@Test
	public void nodeEventsAreRateLimited() {
		DecisionLog log = log(LogDetail.DEFAULT);
		IntStream.range(0, BURST_REQUESTS)
			.forEach((number) -> log.logNodeEvent(LogEvent.LINK_LOST, "peer", "p\"\n" + number));
		Assert.assertEquals(this.lines.size(), LogEvent.LINK_LOST.linesPerSecond());
	}

	@Test
	public void failureBurstIsRateLimitedAndReportsSuppressedLines() {
		DecisionLog log = log(LogDetail.DEFAULT);
		for (int second = 0; second < 3; second++) {
			fail(log, second * BURST_REQUESTS, BURST_REQUESTS);
			this.time.millis += 1_000;
		}
		Assert.assertEquals(this.lines.size(), 3 * 10 * LINES_PER_SECOND);
		Assert.assertTrue(this.lines.stream().anyMatch((line) -> line.contains("\"suppressed\":")));
	}

	@Test
	public void sampleOfSuccessfulRequestsFollowsTheLimit() {
		DecisionLog log = log(LogDetail.DEFAULT);
		int[] written = new int[SAMPLED_SECONDS];
		for (int second = 0; second < SAMPLED_SECONDS; second++) {
			int before = this.lines.size();
			for (int number = 0; number < BURST_REQUESTS; number++) {
				String id = "request-" + second + "-" + number;
				new RequestTrace(log, id, log.isSampled(id)).logIfKept(LogEvent.REQUEST_PLACED, "target", "t");
			}
			written[second] = this.lines.size() - before;
			this.time.millis += 1_000;
		}
		for (int second = SAMPLED_SECONDS / 2; second < SAMPLED_SECONDS; second++) {
			Assert.assertTrue(written[second] == 0 || written[second] <= 2 * LINES_PER_SECOND,
					"second " + second + ": " + written[second]);
		}
		int settled = IntStream.range(SAMPLED_SECONDS / 2, SAMPLED_SECONDS).map((second) -> written[second]).sum();
		Assert.assertTrue(settled > 0, "the sample is not empty");
		this.time.millis += 60_000;
		new RequestTrace(log, "x", true).logIfKept(LogEvent.REQUEST_PLACED);
		Assert.assertEquals(log.sampleLevel(), 0, "after a quiet minute all requests are sampled");
	}

	@Test
	public void failedRequestIsLoggedWithItsEarlierDecisions() {
		DecisionLog log = log(LogDetail.DEFAULT);
		RequestTrace trace = new RequestTrace(log, "q1", false);
		trace.logIfKept(LogEvent.REQUEST_PLACED, "target", "t1");
		long placedAt = this.time.millis;
		Assert.assertEquals(this.lines.size(), 0);
		this.time.millis += 500;
		trace.logAlways(LogEvent.REQUEST_FAILED, "reason", "timeout");
		Assert.assertEquals(this.lines.size(), 2);
		Assert.assertTrue(this.lines.getFirst().startsWith("{\"ts\":" + placedAt + ","), this.lines.getFirst());
	}

	@Test
	public void entryAndHomeSampleTheSameRequests() {
		DecisionLog entry = log(LogDetail.DEFAULT);
		DecisionLog home = log(LogDetail.DEFAULT);
		fail(home, 0, BURST_REQUESTS);
		Assert.assertNotEquals(entry.sampleLevel(), home.sampleLevel(), "the sample levels must differ");
		List<String> kept = IntStream.range(0, BURST_REQUESTS)
			.mapToObj((i) -> "good-" + i)
			.filter(entry::isSampled)
			.toList();
		Assert.assertFalse(kept.isEmpty());
		this.lines.clear();
		this.time.millis += 1_000;
		kept.forEach((id) -> {
			// Few enough lines per second to stay below the limit for failure bursts.
			this.time.millis += 100;
			CallLog call = new CallLog(home, head(id, entry.isSampled(id)), "vm-entry");
			call.done(true, 3, 40, this.time.millis);
		});
		Assert.assertEquals(this.lines.size(), kept.size());
		Assert.assertTrue(this.lines.getFirst().contains("\"entry\":\"vm-entry\""), this.lines.getFirst());
	}

	@Test
	public void nestedCallsAreSampledWithTheirRequest() {
		DecisionLog log = log(LogDetail.DEFAULT);
		IntStream.range(0, BURST_REQUESTS)
			.forEach((i) -> Assert.assertEquals(log.isSampled("q" + i + ".1.2"), log.isSampled("q" + i), "q" + i));
	}

	@Test
	public void requestsAreNotLoggedWhenSwitchedOff() {
		DecisionLog log = log(LogDetail.OFF);
		fail(log, 0, 10);
		Assert.assertEquals(this.lines.size(), 0);
		log.configure(LogDetail.FULL, LINES_PER_SECOND);
		fail(log, 0, BURST_REQUESTS);
		Assert.assertEquals(this.lines.size(), BURST_REQUESTS, "full detail has no rate limit");
	}

	@Test
	public void linesContainNoHeadersOrBodies() {
		DecisionLog log = log(LogDetail.FULL);
		CallHead head = head("q1", true);
		CallLog call = new CallLog(log, head, "vm-entry");
		call.refused(FailureReason.OVERLOADED, TargetLoad.UNKNOWN, 100, 0);
		call.failed(FailureReason.TARGET_CRASHED, true, 1, 2);
		call.done(true, 1, 2, 3);
		call.cancelled("waiting", 4);
		RequestLog request = new RequestLog(log, "q1");
		request.unavailable(null, "overloaded", 1, 2, 3);
		request.failed("route", HttpResponseStatus.BAD_GATEWAY, FailureReason.LINK_LOST, 1, 2, false, "");
		request.refused(
				new CallerRequest("q1", "GET", "/x?token=secret", "a.example", List.of("Cookie", "secret"),
						CallHead.NO_BODY, Optional.empty(), true, Optional.empty()),
				HttpResponseStatus.NOT_FOUND, "no route", state(12, 4_000), 4_700);
		Assert.assertEquals(this.lines.size(), 7);
		Assert.assertTrue(this.lines.getLast().contains("\"path\":\"/x\""), this.lines.getLast());
		this.lines.forEach((line) -> Assert.assertFalse(line.contains("secret"), line));
	}

	// A request that was refused for an outdated version did not say for which.
	@Test
	public void refusalNamesTheVersionThatDecidedIt() {
		CallerRequest request = new CallerRequest("q1", "GET", "/x", "a.example", List.of(), CallHead.NO_BODY,
				Optional.empty(), true, Optional.empty());
		RequestLog log = new RequestLog(log(LogDetail.FULL), "q1");
		log.refused(request, HttpResponseStatus.NOT_FOUND, "no route", state(12, 4_000), 4_700);
		log.refused(request, HttpResponseStatus.BAD_REQUEST, "malformed", RoutingState.EMPTY, 4_700);
		Assert.assertTrue(this.lines.getFirst().contains("\"config_version\":12,\"config_age_ms\":700"),
				this.lines.getFirst());
		Assert.assertTrue(this.lines.getLast().contains("\"config_version\":0"), this.lines.getLast());
	}

	private static RoutingState state(long version, long learnedAtMillis) {
		MeshConfig config = new MeshConfig(version, CallerLimits.DEFAULT, new RouteTable(List.of()), Map.of());
		RoutingState empty = RoutingState.EMPTY;
		return new RoutingState(config, empty.directory(), true, empty.positions(), empty.lastChanges(),
				new long[] { learnedAtMillis, learnedAtMillis }, empty.sourceReport());
	}

	private static void fail(DecisionLog log, int first, int count) {
		IntStream.range(first, first + count)
			.forEach((i) -> new RequestTrace(log, "bad-" + i, false).logAlways(LogEvent.REQUEST_FAILED, "reason",
					"timeout"));
	}

	private static CallHead head(String id, boolean logged) {
		return new CallHead(id, "route", "target", "POST", "/x?token=secret", List.of("Authorization", "secret"),
				10_000, 10_000, 1, true, false, logged, TargetStatements.NO_LIMIT, CallHead.NO_BODY);
	}

	private DecisionLog log(LogDetail detail) {
		return new DecisionLog("vm", this.time, detail, LINES_PER_SECOND);
	}

	private static final class SettableTime implements TimeSource {

		private long millis = 5_000;

		@Override
		public long monotonicMillis() {
			return this.millis;
		}

		@Override
		public long wallMillis() {
			return this.millis;
		}

	}

}
