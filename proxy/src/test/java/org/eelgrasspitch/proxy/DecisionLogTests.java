package org.eelgrasspitch.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.IntStream;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.eelgrasspitch.mesh.TargetLoad;
import org.eelgrasspitch.misc.TimeSource;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * What is logged: everything about requests that did not go well, a sample of the others,
 * within a bound.
 */
@Test(singleThreaded = true)
public class DecisionLogTests {

	private static final int BOUND = 20;

	private static final int SECONDS = 30;

	/** Requests a second of a storm. */
	private static final int STORM = 5_000;

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
	public void everyEventAboutTheNodeHasABound() {
		DecisionLog log = log(LogDetail.DEFAULT);
		IntStream.range(0, STORM).forEach((number) -> log.log(LogEvent.LINK_LOST, "peer", "p\"\n" + number));
		Assert.assertEquals(this.lines.size(), LogEvent.LINK_LOST.linesPerSecond());
	}

	@Test
	public void aStormOfFailuresHasABoundAndSaysWhatWasLeftOut() {
		DecisionLog log = log(LogDetail.DEFAULT);
		for (int second = 0; second < 3; second++) {
			fail(log, second * STORM, STORM);
			this.time.millis += 1_000;
		}
		Assert.assertEquals(this.lines.size(), 3 * 10 * BOUND);
		Assert.assertTrue(this.lines.stream().anyMatch((line) -> line.contains("\"suppressed\":")));
	}

	@Test
	public void theSampleOfGoodRequestsFollowsTheBound() {
		DecisionLog log = log(LogDetail.DEFAULT);
		int[] written = new int[SECONDS];
		for (int second = 0; second < SECONDS; second++) {
			int before = this.lines.size();
			for (int number = 0; number < STORM; number++) {
				String id = "request-" + second + "-" + number;
				new RequestTrace(log, id, log.keeps(id)).note(LogEvent.REQUEST_PLACED, "target", "t");
			}
			written[second] = this.lines.size() - before;
			this.time.millis += 1_000;
		}
		for (int second = SECONDS / 2; second < SECONDS; second++) {
			Assert.assertTrue(written[second] == 0 || written[second] <= 2 * BOUND,
					"second " + second + ": " + written[second]);
		}
		int settled = IntStream.range(SECONDS / 2, SECONDS).map((second) -> written[second]).sum();
		Assert.assertTrue(settled > 0, "the sample is not empty");
		this.time.millis += 60_000;
		new RequestTrace(log, "x", true).note(LogEvent.REQUEST_PLACED);
		Assert.assertEquals(log.sampleLevel(), 0, "after a quiet minute all requests are logged");
	}

	@Test
	public void aRequestThatFailsIsLoggedWithItsEarlierDecisions() {
		DecisionLog log = log(LogDetail.DEFAULT);
		RequestTrace trace = new RequestTrace(log, "q1", false);
		trace.note(LogEvent.REQUEST_PLACED, "target", "t1");
		long placedAt = this.time.millis;
		Assert.assertEquals(this.lines.size(), 0);
		this.time.millis += 500;
		trace.tell(LogEvent.REQUEST_FAILED, "reason", "timeout");
		Assert.assertEquals(this.lines.size(), 2);
		Assert.assertTrue(this.lines.getFirst().startsWith("{\"ts\":" + placedAt + ","), this.lines.getFirst());
	}

	@Test
	public void bothHopsKeepTheSameRequests() {
		DecisionLog entry = log(LogDetail.DEFAULT);
		DecisionLog home = log(LogDetail.DEFAULT);
		fail(home, 0, STORM);
		Assert.assertNotEquals(entry.sampleLevel(), home.sampleLevel(), "the home samples less");
		List<String> kept = IntStream.range(0, STORM).mapToObj((i) -> "good-" + i).filter(entry::keeps).toList();
		Assert.assertFalse(kept.isEmpty());
		this.lines.clear();
		this.time.millis += 1_000;
		kept.forEach((id) -> {
			// Few enough in a second to stay below the bound of a storm.
			this.time.millis += 100;
			CallLog call = new CallLog(home, head(id, entry.keeps(id)), "vm-entry");
			call.done(true, 3, 40, this.time.millis);
		});
		Assert.assertEquals(this.lines.size(), kept.size());
		Assert.assertTrue(this.lines.getFirst().contains("\"entry\":\"vm-entry\""), this.lines.getFirst());
	}

	@Test
	public void callsOfARequestAreKeptWithIt() {
		DecisionLog log = log(LogDetail.DEFAULT);
		IntStream.range(0, STORM)
			.forEach((i) -> Assert.assertEquals(log.keeps("q" + i + ".1.2"), log.keeps("q" + i), "q" + i));
	}

	@Test
	public void nothingIsLoggedAboutRequestsWhenSwitchedOff() {
		DecisionLog log = log(LogDetail.OFF);
		fail(log, 0, 10);
		Assert.assertEquals(this.lines.size(), 0);
		log.configure(LogDetail.FULL, BOUND);
		fail(log, 0, STORM);
		Assert.assertEquals(this.lines.size(), STORM, "in full there is no bound");
	}

	@Test
	public void noLineHoldsHeadersOrBodies() {
		DecisionLog log = log(LogDetail.FULL);
		CallHead head = head("q1", true);
		CallLog call = new CallLog(log, head, "vm-entry");
		call.refused(FailureReason.OVERLOADED, TargetLoad.UNKNOWN, 100, 0);
		call.failed(FailureReason.TARGET_CRASHED, true, 1, 2);
		call.done(true, 1, 2, 3);
		call.cancelled("waiting", 4);
		RequestLog request = new RequestLog(log, "q1");
		request.unavailable(null, "overloaded", 1, 2, 3);
		request.failed("route", HttpResponseStatus.BAD_GATEWAY, FailureReason.LINK_LOST, 1, 2, false);
		request.refused(
				new CallerRequest("q1", "GET", "/x?token=secret", "a.example", List.of("Cookie", "secret"),
						CallHead.NO_BODY, Optional.empty(), true, Optional.empty()),
				HttpResponseStatus.NOT_FOUND, "no route");
		Assert.assertEquals(this.lines.size(), 7);
		Assert.assertTrue(this.lines.getLast().contains("\"path\":\"/x\""), this.lines.getLast());
		this.lines.forEach((line) -> Assert.assertFalse(line.contains("secret"), line));
	}

	private static void fail(DecisionLog log, int first, int count) {
		IntStream.range(first, first + count)
			.forEach(
					(i) -> new RequestTrace(log, "bad-" + i, false).tell(LogEvent.REQUEST_FAILED, "reason", "timeout"));
	}

	private static CallHead head(String id, boolean logged) {
		return new CallHead(id, "route", "target", "POST", "/x?token=secret", List.of("Authorization", "secret"),
				10_000, 10_000, 1, true, false, logged, CallHead.NO_BODY);
	}

	private DecisionLog log(LogDetail detail) {
		return new DecisionLog("vm", this.time, detail, BOUND);
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
