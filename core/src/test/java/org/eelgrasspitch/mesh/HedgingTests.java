package org.eelgrasspitch.mesh;

import java.util.Arrays;
import java.util.SplittableRandom;

import org.eelgrasspitch.mesh.FleetRetryBudget.Purpose;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Simulates lookups of which a few stall at their target, and checks that hedges add no
 * load under overload.
 */
public class HedgingTests {

	private static final long OBJECTIVE_MILLIS = 600;

	private static final long TIMEOUT_MILLIS = 2_000;

	private static final double TYPICAL_MILLIS = 220;

	private static final int SLOTS = 9;

	@Test
	public void stalledLookupsAreAnsweredByTheHedge() {
		long[] unhedged = simulate(false);
		long[] hedged = simulate(true);
		Assert.assertEquals(percentile(unhedged, 99), TIMEOUT_MILLIS, "99th percentile without hedging");
		Assert.assertTrue(percentile(hedged, 99) <= 3 * TYPICAL_MILLIS + 100,
				"99th percentile with hedging: " + percentile(hedged, 99));
		Assert.assertTrue(servedShare(hedged) > servedShare(unhedged) + 0.01);
	}

	@Test
	public void noRequestIsHedgedUnderOverload() {
		for (int waiting = 1; waiting < 20; waiting++) {
			Assert.assertFalse(Hedging.hasCapacity(candidate(SLOTS, waiting, 0)));
		}
		Assert.assertFalse(Hedging.hasCapacity(candidate(SLOTS, 0, 0)));
		Assert.assertFalse(Hedging.hasCapacity(candidate(3, 0, 5)), "requests sent since the load report count");
		Assert.assertTrue(Hedging.hasCapacity(candidate(3, 0, 1)));
	}

	@Test
	public void aTargetThatIsDownHasNoCapacity() {
		TargetLoad down = new TargetLoad(TargetLoad.State.DOWN, 0, 0, SLOTS, 0, 0, 0, TargetStatements.NO_LIMIT);
		Assert.assertFalse(Hedging.hasCapacity(new Candidate("t", true, down, 0, 0, 0, 0)));
	}

	@Test
	public void anUnknownServiceTimeUsesAShareOfTheObjective() {
		TargetLoad idle = new TargetLoad(TargetLoad.State.UP, 0, 0, SLOTS, 0, 0, 0, TargetStatements.NO_LIMIT);
		Assert.assertEquals(Hedging.delayMillis(new Candidate("t", true, idle, 0, 0, 0, 0), OBJECTIVE_MILLIS), 450);
	}

	@Test
	public void hedgesLeaveThreeQuartersOfTheBudget() {
		FleetRetryBudget budget = new FleetRetryBudget(0.2, 100, 10_000);
		int hedges = 0;
		while (budget.tryAcquire("s", 1, Purpose.HEDGE, 0)) {
			hedges++;
		}
		int others = 0;
		while (budget.tryAcquire("s", 1, Purpose.FAILED, 0)) {
			others++;
		}
		Assert.assertTrue(hedges > 0 && others >= 3 * hedges, hedges + " and " + others);
	}

	/**
	 * Simulates 4,000 lookups at 50 per second, of which one in fifty gets no answer from
	 * its first target.
	 */
	private static long[] simulate(boolean hedge) {
		SplittableRandom random = new SplittableRandom(5);
		FleetRetryBudget budget = new FleetRetryBudget(0.2, 56, 10_000);
		long[] times = new long[4_000];
		for (int i = 0; i < times.length; i++) {
			long now = i * 20L;
			budget.recordRequest("s", now);
			boolean stalls = random.nextInt(50) == 0;
			times[i] = stalls ? TIMEOUT_MILLIS : randomServiceMillis(random);
			long delay = Hedging.delayMillis(candidate(3, 0, 0), OBJECTIVE_MILLIS);
			if (hedge && times[i] > delay && budget.tryAcquire("s", 1, Purpose.HEDGE, now + delay)) {
				times[i] = Math.min(times[i], delay + randomServiceMillis(random));
			}
		}
		return times;
	}

	private static long randomServiceMillis(SplittableRandom random) {
		return (long) (TYPICAL_MILLIS * (0.6 + 0.8 * random.nextDouble()));
	}

	private static Candidate candidate(int running, int waiting, int sentSinceReport) {
		TargetLoad load = new TargetLoad(TargetLoad.State.UP, running, waiting, SLOTS, 0, (int) TYPICAL_MILLIS, 0,
				TargetStatements.NO_LIMIT);
		return new Candidate("t", true, load, sentSinceReport, TYPICAL_MILLIS, 0, 0);
	}

	private static long percentile(long[] times, int percent) {
		long[] sorted = times.clone();
		Arrays.sort(sorted);
		return sorted[sorted.length * percent / 100];
	}

	private static double servedShare(long[] times) {
		return (double) Arrays.stream(times).filter((time) -> time < TIMEOUT_MILLIS).count() / times.length;
	}

}
