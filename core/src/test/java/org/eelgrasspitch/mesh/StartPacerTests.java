package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.eelgrasspitch.mesh.TargetQueue.Decision;
import org.eelgrasspitch.mesh.TargetQueue.Job;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Requests that arrive at a fixed rate at a target that names a limit. Spans and
 * allowances are the platform's.
 */
public class StartPacerTests {

	private static final long SPAN_MILLIS = 4_000;

	private static final long SETTLE_MILLIS = 3_000;

	private static final double ALLOWED_FACTOR = 1.5;

	private static final int ALLOWED_EXTRA = 5;

	private static final long NAMED_AT_MILLIS = 10_000;

	private static final long END_MILLIS = 30_000;

	private static final int SLOTS = 18;

	private static final long SERVICE_MILLIS = 150;

	private static final long OBJECTIVE_MILLIS = 600;

	private static final long TIMEOUT_MILLIS = 2_500;

	@DataProvider
	public Object[][] loads() {
		return new Object[][] { { 100, 40, 20 }, { 100, 25, 50 }, { 45, 13.3, 150 }, { 20, 40, 20 }, { 110, 110, 20 },
				{ 10, 2, 300 }, { 100, 0, 20 }, { 60, 12, 100 } };
	}

	@Test(dataProvider = "loads")
	public void targetGetsNoMoreThanItsLimitAllows(double arrivalsPerSecond, double limit, long firstAnswerMillis) {
		List<Long> starts = new Run(arrivalsPerSecond, limit, firstAnswerMillis).starts();
		assertLimitKept(starts, limit);
	}

	@Test(dataProvider = "loads")
	public void limitIsUsed(double arrivalsPerSecond, double limit, long firstAnswerMillis) {
		List<Long> starts = new Run(arrivalsPerSecond, limit, firstAnswerMillis).starts();
		long settled = NAMED_AT_MILLIS + SETTLE_MILLIS + SPAN_MILLIS;
		double usable = Math.min(arrivalsPerSecond, limit) * (END_MILLIS - settled) / 1_000;
		long used = starts.stream().filter((time) -> time > settled).count();
		Assert.assertTrue(used >= 0.9 * usable, used + " of " + usable);
	}

	@Test
	public void homeThatWasFrozenSendsNoBurst() {
		double limit = 20;
		Run run = new Run(100, limit, 20);
		run.frozenFromMillis = 16_000;
		run.frozenToMillis = 19_000;
		List<Long> starts = run.starts();
		assertLimitKept(starts, limit);
		Assert.assertTrue(count(starts, 18_999, 19_100) <= 1 + limit / 4 + 2);
	}

	@Test
	public void limitThatIsLoweredIsKept() {
		Run run = new Run(100, 60, 20);
		run.laterLimit = 20;
		run.laterAtMillis = 20_000;
		List<Long> starts = run.starts();
		for (long end = 23_000; end <= END_MILLIS; end += 50) {
			long count = count(starts, end - SPAN_MILLIS, end);
			// The span may begin before the limit was lowered.
			double before = Math.max(0, 20_000 - (end - SPAN_MILLIS)) / 1_000.0;
			double allowed = ALLOWED_FACTOR * (before * 60 + (4 - before) * 20) + ALLOWED_EXTRA;
			Assert.assertTrue(count <= allowed, count + " starts before " + end + ", allowed " + allowed);
		}
	}

	@Test
	public void allSlotsAreUsedAgainWhenTheLimitEnds() {
		Run run = new Run(100, 20, 20);
		run.laterLimit = TargetStatements.NO_LIMIT;
		run.laterAtMillis = 20_000;
		List<Long> starts = run.starts();
		Assert.assertTrue(count(starts, 20_500, 22_500) >= 190, "starts: " + count(starts, 20_500, 22_500));
	}

	@Test
	public void requestsThatTheLimitDelaysTooLongAreRefusedAtOnce() {
		TargetQueue<Integer> queue = new TargetQueue<>(new StartPacer(StartPacer.DEFAULT_SETTLE_MILLIS));
		queue.setLimit(2, 0, 0);
		List<Integer> refused = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			Decision<Integer> decision = queue.offer(new Job<>(i, 2, OBJECTIVE_MILLIS, TIMEOUT_MILLIS, 100), SLOTS, 0);
			decision.refused().forEach((refusal) -> refused.add(refusal.work()));
		}
		Assert.assertEquals(queue.running(), 1);
		Assert.assertTrue(queue.waiting() <= 2, "waiting: " + queue.waiting());
		Assert.assertTrue(refused.size() >= 17, "refused: " + refused);
	}

	@Test
	public void delayCountsOnTheLimitFromTheEndOfSettling() {
		StartPacer pacer = new StartPacer(SETTLE_MILLIS);
		pacer.recordStarts(100, 9_900);
		pacer.setLimit(20, 10_000, 10_000);
		long nearEnd = 10_000 + SETTLE_MILLIS - 200;
		pacer.recordStarts(pacer.permits(nearEnd), nearEnd);
		double delay = pacer.delayMillis(3, nearEnd);
		Assert.assertTrue(delay <= 200 + 4 * 50, "delay: " + delay);
		long now = nearEnd;
		while (pacer.permits(now) < 4) {
			now += 10;
		}
		Assert.assertEquals(now - nearEnd, delay, 20);
	}

	@DataProvider
	public Object[][] settleTimes() {
		return new Object[][] { { 1_500 }, { 2_000 }, { 3_000 }, { 4_000 }, { 6_000 } };
	}

	@Test(dataProvider = "settleTimes")
	public void limitIsKeptFromTheSettleTimeOfTheDeployment(long settleMillis) {
		double limit = 20;
		double before = 2.2 * limit;
		StartPacer pacer = new StartPacer(settleMillis);
		List<Long> starts = new ArrayList<>();
		double arrived = 0;
		for (long now = 0; now < 10_000; now++) {
			if (now == 5_020) {
				pacer.setLimit(limit, now, now);
			}
			arrived += before / 1_000;
			if (arrived >= 1 && pacer.permits(now) > 0) {
				arrived = 0;
				pacer.recordStarts(1, now);
				starts.add(now);
			}
		}
		for (long end = 5_000 + settleMillis; end < 10_000; end += 50) {
			long count = count(starts, end - SPAN_MILLIS, end);
			double allowed = ALLOWED_FACTOR * limit * SPAN_MILLIS / 1_000 + ALLOWED_EXTRA;
			Assert.assertTrue(count <= allowed, count + " starts before " + end + ", allowed " + allowed);
		}
	}

	@Test
	public void nestedCallsGetTheStartsOfALimitedTargetFirst() {
		TargetQueue<String> queue = new TargetQueue<>(new StartPacer(StartPacer.DEFAULT_SETTLE_MILLIS));
		queue.setLimit(10, 0, 0);
		queue.offer(new Job<>("running", 2, 5_000, 5_000, 100), SLOTS, 0);
		queue.offer(new Job<>("second", 2, 5_000, 5_000, 100), SLOTS, 0);
		queue.offer(new Job<>("third", 2, 5_000, 5_000, 100), SLOTS, 0);
		queue.offer(new Job<>("nested", TargetQueue.NESTED_CALL_RANK, 5_000, 5_000, 100), SLOTS, 0);
		List<String> started = new ArrayList<>();
		for (long now = 0; now <= 300; now += 10) {
			started.addAll(queue.schedule(SLOTS, now).started());
		}
		Assert.assertTrue(started.indexOf("nested") < started.indexOf("third"), started.toString());
	}

	@Test
	public void placementTurnsToTargetsWithoutALimit() {
		TargetLoad limited = new TargetLoad(TargetLoad.State.UP, 2, 0, SLOTS, 0, 150, 0, 10);
		TargetLoad free = new TargetLoad(TargetLoad.State.UP, 9, 0, SLOTS, 0, 150, 0, TargetStatements.NO_LIMIT);
		Placement placement = new Placement(new SplittableRandom(1));
		Candidate paced = new Candidate("limited", true, limited, 6, 150, 0, 0);
		Candidate other = new Candidate("free", true, free, 0, 150, 0, 0);
		Assert.assertEquals(placement.choose(List.of(paced, other), OBJECTIVE_MILLIS).get().id(), "free");
		Assert.assertFalse(Hedging.hasCapacity(new Candidate("limited", true, limited, 0, 150, 0, 0)));
	}

	private static void assertLimitKept(List<Long> starts, double limit) {
		double allowed = ALLOWED_FACTOR * limit * SPAN_MILLIS / 1_000 + ALLOWED_EXTRA;
		for (long end = NAMED_AT_MILLIS + SETTLE_MILLIS; end <= END_MILLIS; end += 50) {
			long count = count(starts, end - SPAN_MILLIS, end);
			boolean beforeCounts = end - SPAN_MILLIS < NAMED_AT_MILLIS;
			// No behaviour after the naming can make up for more than was allowed before.
			long unavoidable = beforeCounts ? count(starts, end - SPAN_MILLIS, NAMED_AT_MILLIS + 300) : 0;
			Assert.assertTrue(count <= Math.max(allowed, unavoidable + ALLOWED_EXTRA),
					count + " starts in the span before " + end + ", allowed " + allowed);
		}
	}

	private static long count(List<Long> starts, long from, long to) {
		return starts.stream().filter((time) -> time > from && time <= to).count();
	}

	/** Arrivals at one target and its queue. */
	private static final class Run {

		private final double arrivalsPerSecond;

		private final double limit;

		/** Time from the naming to the first answer that carries the limit. */
		private final long firstAnswerMillis;

		private long frozenFromMillis = Long.MAX_VALUE;

		private long frozenToMillis = Long.MAX_VALUE;

		private double laterLimit;

		private long laterAtMillis = Long.MAX_VALUE;

		private Run(double arrivalsPerSecond, double limit, long firstAnswerMillis) {
			this.arrivalsPerSecond = arrivalsPerSecond;
			this.limit = limit;
			this.firstAnswerMillis = firstAnswerMillis;
		}

		private List<Long> starts() {
			TargetQueue<Long> queue = new TargetQueue<>(new StartPacer(StartPacer.DEFAULT_SETTLE_MILLIS));
			List<Long> starts = new ArrayList<>();
			List<Long> ends = new ArrayList<>();
			double arrived = 0;
			for (long now = 0; now < END_MILLIS; now++) {
				arrived += this.arrivalsPerSecond / 1_000;
				if (now >= this.frozenFromMillis && now < this.frozenToMillis) {
					continue;
				}
				if (now == NAMED_AT_MILLIS + this.firstAnswerMillis) {
					queue.setLimit(this.limit, now, now);
				}
				if (now == this.laterAtMillis) {
					queue.setLimit(this.laterLimit, now, now);
				}
				for (; arrived >= 1; arrived--) {
					start(queue.offer(new Job<>(now, 2, now + OBJECTIVE_MILLIS, now + TIMEOUT_MILLIS, SERVICE_MILLIS),
							SLOTS, now), now, starts, ends);
				}
				while (!ends.isEmpty() && ends.getFirst() <= now) {
					ends.removeFirst();
					start(queue.release(SLOTS, now), now, starts, ends);
				}
				if (now % 50 == 0) {
					start(queue.schedule(SLOTS, now), now, starts, ends);
				}
			}
			return starts;
		}

		private static void start(Decision<Long> decision, long now, List<Long> starts, List<Long> ends) {
			decision.started().forEach((started) -> {
				starts.add(now);
				ends.add(now + SERVICE_MILLIS);
			});
		}

	}

}
