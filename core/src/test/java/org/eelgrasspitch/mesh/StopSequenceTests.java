package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.eelgrasspitch.mesh.StopSequence.Stage;
import org.eelgrasspitch.mesh.StopSequence.Work;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Stops of nodes under load, with times to stop from 1 to 30 s.
 */
public class StopSequenceTests {

	private static final Work NONE = new Work(0, 0, 0, 0);

	private static final Work RUNNING = new Work(1, 0, 0, 0);

	private static final long START = 50_000;

	private static final long TICK_MILLIS = 25;

	@DataProvider
	public Object[][] stopMillis() {
		return new Object[][] { { 1_000L }, { 2_000L }, { 3_500L }, { 6_000L }, { 9_300L }, { 10_000L }, { 30_000L } };
	}

	@Test(dataProvider = "stopMillis")
	public void idleNodeRefusesRequestsAndCallsBeforeItCloses(long stopMillis) {
		StopSequence stop = new StopSequence(stopMillis, START);
		long now = START;
		while (stop.advance(NONE, now) == Stage.LEAVING) {
			now += TICK_MILLIS;
		}
		long refusingSince = now;
		while (stop.advance(NONE, now) != Stage.CLOSED) {
			Assert.assertFalse(stop.acceptsCalls(now), "accepts calls " + (now - START) + " ms after the signal");
			Assert.assertFalse(stop.acceptsRequests(now), "accepts requests");
			now += TICK_MILLIS;
		}
		Assert.assertTrue(now - refusingSince >= StopSequence.QUIET_MILLIS, "closed " + (now - refusingSince));
		Assert.assertTrue(now < START + stopMillis, "closed after the kill");
	}

	@Test(dataProvider = "stopMillis")
	public void busyNodeAnswersBeforeItCloses(long stopMillis) {
		StopSequence stop = new StopSequence(stopMillis, START);
		long answeredAt = 0;
		long now = START;
		for (Stage stage = Stage.LEAVING; stage != Stage.CLOSED; now += TICK_MILLIS) {
			stage = stop.advance(RUNNING, now);
			answeredAt = (stage == Stage.ANSWERING && answeredAt == 0) ? now : answeredAt;
		}
		Assert.assertTrue(answeredAt > 0 && answeredAt < now - TICK_MILLIS, "answered " + (answeredAt - START));
		Assert.assertTrue(now - TICK_MILLIS < START + stopMillis, "closed after the kill");
		// The platform excuses what still runs in the last sixth of the time to stop.
		Assert.assertTrue(answeredAt >= START + stopMillis * 5 / 6, "answered too early: " + (answeredAt - START));
	}

	@Test
	public void responseThatWaitsToBeWrittenKeepsTheNodeOpen() {
		StopSequence stop = new StopSequence(6_000, START);
		Assert.assertEquals(stop.advance(new Work(0, 0, 1, 0), START + 3_000), Stage.LEAVING);
		Assert.assertEquals(stop.advance(NONE, START + 3_025), Stage.REFUSING);
		Assert.assertEquals(stop.advance(new Work(0, 0, 70, 0), START + 3_500), Stage.REFUSING);
		Assert.assertEquals(stop.advance(NONE, START + 3_525), Stage.REFUSING);
		Assert.assertEquals(stop.advance(NONE, START + 3_625), Stage.CLOSING);
	}

	@Test
	public void nodeStaysOpenUntilTheOtherSidesHaveReadWhatTheyWereSent() {
		StopSequence stop = new StopSequence(6_000, START);
		stop.advance(NONE, START + 2_300);
		Assert.assertEquals(stop.advance(NONE, START + 2_400), Stage.CLOSING);
		Assert.assertEquals(stop.advance(new Work(0, 0, 0, 3), START + 3_000), Stage.CLOSING);
		Assert.assertEquals(stop.advance(new Work(0, 0, 0, 0), START + 3_025), Stage.CLOSED);
	}

	@Test
	public void connectionThatTheOtherSideLeavesOpenDoesNotKeepTheNode() {
		StopSequence stop = new StopSequence(6_000, START);
		stop.advance(NONE, START + 2_300);
		stop.advance(NONE, START + 2_400);
		Assert.assertEquals(stop.advance(new Work(0, 0, 0, 1), START + 3_400), Stage.CLOSED);
	}

	@Test
	public void callerHasTimeToMoveToAnotherNode() {
		StopSequence stop = new StopSequence(6_000, START);
		Assert.assertEquals(stop.advance(NONE, START + 2_275), Stage.LEAVING);
		Assert.assertTrue(stop.acceptsRequests(START + 2_275));
	}

	@Test
	public void requestsAreNotAcceptedWithoutTimeToAnswerThem() {
		StopSequence stop = new StopSequence(6_000, START);
		stop.advance(RUNNING, START + 2_800);
		Assert.assertTrue(stop.acceptsRequests(START + 2_800));
		Assert.assertFalse(stop.acceptsRequests(START + 2_801));
		Assert.assertFalse(stop.acceptsCalls(START + 1_500));
	}

	/**
	 * Work comes and goes at random; whatever the load does, nothing is accepted from the
	 * first check that finds the node idle to its close.
	 */
	@Test
	public void nothingIsAcceptedAfterTheCheckUnderRandomLoads() {
		for (int seed = 1; seed <= 2_000; seed++) {
			SplittableRandom random = new SplittableRandom(seed);
			StopSequence stop = new StopSequence(random.nextLong(1_000, 30_000), START);
			boolean left = false;
			Stage stage = Stage.LEAVING;
			for (long now = START; stage != Stage.CLOSED; now += random.nextLong(1, 300)) {
				Work work = new Work(random.nextInt(2), random.nextInt(2), random.nextInt(2), random.nextInt(2));
				Stage next = stop.advance(work, now);
				Assert.assertTrue(next.compareTo(stage) >= 0, "seed " + seed + ": " + stage + " to " + next);
				stage = next;
				left |= stage != Stage.LEAVING;
				boolean accepts = stop.acceptsCalls(now) || stop.acceptsRequests(now);
				Assert.assertFalse(left && accepts, "seed " + seed + ": accepts in " + stage);
			}
		}
	}

	@DataProvider
	public Object[][] allStopMillis() {
		return Stream.of(1, 2, 3, 6, 10, 12, 20, 60, 600)
			.map((seconds) -> new Object[] { TimeUnit.SECONDS.toMillis(seconds) })
			.toArray(Object[][]::new);
	}

	/**
	 * Whatever arrives during a stop, waits for its turn and then starts: it ends before
	 * the last answers, also if it takes a sixth longer than expected, and nothing starts
	 * that was sent later than 3 s after the signal.
	 */
	@Test(dataProvider = "allStopMillis")
	public void startedWorkIsCutOffByTheEndOfTheNode(long stopMillis) {
		for (double service = 50; service <= 1.5 * stopMillis; service *= 1.6) {
			for (long wait = 0; wait <= stopMillis; wait = 2 * wait + 100) {
				playStop(stopMillis, service, wait);
			}
		}
	}

	private static void playStop(long stopMillis, double serviceMillis, long waitMillis) {
		StopSequence stop = new StopSequence(stopMillis, START);
		Map<Long, Long> endByArrival = new TreeMap<>();
		List<Long> waiting = new ArrayList<>();
		int refused = 0;
		String played = stopMillis + " ms to stop, service " + serviceMillis + " ms, wait " + waitMillis + " ms";
		Stage stage = Stage.LEAVING;
		for (long now = START; stage != Stage.CLOSED; now += TICK_MILLIS) {
			long time = now;
			endByArrival.values().removeIf((end) -> end <= time);
			stage = stop.advance(new Work(waiting.size() + endByArrival.size(), 0, 0, 0), now);
			if (stage == Stage.ANSWERING) {
				Assert.assertEquals(endByArrival, Map.of(), played + ": started and not ended");
				waiting.clear();
			}
			boolean fits = StopSequence.endsInTime(serviceMillis, stop.answersAtMillis(), now);
			if (stop.acceptsRequests(now) && fits) {
				Assert.assertTrue(now - START <= 3_000, played + ": accepted after " + (now - START));
				waiting.add(now);
			}
			else {
				refused++;
			}
			List<Long> turn = waiting.stream().filter((arrival) -> arrival + waitMillis <= time).toList();
			waiting.removeAll(turn);
			turn.stream()
				.filter((arrival) -> fits)
				.forEach((arrival) -> endByArrival.put(arrival, time + (long) (serviceMillis * 7 / 6)));
		}
		Assert.assertTrue(refused > 0, played + ": none refused");
		Assert.assertEquals(endByArrival, Map.of(), played + ": cut off");
	}

	// The event loop was held up past the end, so the step that answers was left out.
	@Test(dataProvider = "stopMillis")
	public void delayedCheckClosesWithoutAnswers(long stopMillis) {
		StopSequence stop = new StopSequence(stopMillis, START);
		Assert.assertEquals(stop.advance(RUNNING, stop.answersAtMillis() - 1), Stage.LEAVING);
		Assert.assertEquals(stop.advance(RUNNING, stop.closesAtMillis() + 1), Stage.ANSWERING);
	}

}
