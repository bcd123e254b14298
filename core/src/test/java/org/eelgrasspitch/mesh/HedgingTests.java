package org.eelgrasspitch.mesh;

import java.util.Arrays;
import java.util.SplittableRandom;

import org.eelgrasspitch.mesh.AttemptBudget.Purpose;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Replays lookups of which a few stall at their target, and the same under overload.
 */
public class HedgingTests {

	private static final long OBJECTIVE = 600;

	private static final long TIMEOUT = 2_000;

	private static final double TYPICAL = 220;

	private static final int SLOTS = 9;

	@Test
	public void lookupsWhoseTargetStallsAreAnsweredByAnother() {
		long[] alone = replay(false);
		long[] hedged = replay(true);
		Assert.assertEquals(percentile(alone, 99), TIMEOUT, "without a second send one in fifty runs out of time");
		Assert.assertTrue(percentile(hedged, 99) <= 3 * TYPICAL + 100, "with one: " + percentile(hedged, 99));
		Assert.assertTrue(served(hedged) > served(alone) + 0.01);
	}

	@Test
	public void underOverloadNothingIsSentTwice() {
		for (int waiting = 1; waiting < 20; waiting++) {
			Assert.assertFalse(Hedging.hasRoom(candidate(SLOTS, waiting, 0)));
		}
		Assert.assertFalse(Hedging.hasRoom(candidate(SLOTS, 0, 0)));
		Assert.assertFalse(Hedging.hasRoom(candidate(3, 0, 5)), "what this entry has sent there since counts");
		Assert.assertTrue(Hedging.hasRoom(candidate(3, 0, 1)));
	}

	@Test
	public void aTargetThatIsDownHasNoRoom() {
		HomeLoad down = new HomeLoad(HomeLoad.State.DOWN, 0, 0, SLOTS, 0, 0, 0);
		Assert.assertFalse(Hedging.hasRoom(new Candidate("t", true, down, 0, 0, 0, 0)));
	}

	@Test
	public void anUnknownTimeIsTakenFromTheObjective() {
		HomeLoad idle = new HomeLoad(HomeLoad.State.UP, 0, 0, SLOTS, 0, 0, 0);
		Assert.assertEquals(Hedging.waitMillis(new Candidate("t", true, idle, 0, 0, 0, 0), OBJECTIVE), 450);
	}

	@Test
	public void secondSendsLeaveThreeQuartersOfTheBudget() {
		AttemptBudget budget = new AttemptBudget(0.2, 100, 10_000);
		int hedges = 0;
		while (budget.tryTake("s", 1, Purpose.HEDGE, 0)) {
			hedges++;
		}
		int others = 0;
		while (budget.tryTake("s", 1, Purpose.FAILED, 0)) {
			others++;
		}
		Assert.assertTrue(hedges > 0 && others >= 3 * hedges, hedges + " and " + others);
	}

	/**
	 * Plays 4,000 lookups at 50 in a second, of which one in fifty gets no answer from
	 * its first target.
	 */
	private static long[] replay(boolean hedge) {
		SplittableRandom random = new SplittableRandom(5);
		AttemptBudget budget = new AttemptBudget(0.2, 56, 10_000);
		long[] times = new long[4_000];
		for (int i = 0; i < times.length; i++) {
			long now = i * 20L;
			budget.sent("s", now);
			boolean stalls = random.nextInt(50) == 0;
			times[i] = stalls ? TIMEOUT : service(random);
			long wait = Hedging.waitMillis(candidate(3, 0, 0), OBJECTIVE);
			if (hedge && times[i] > wait && budget.tryTake("s", 1, Purpose.HEDGE, now + wait)) {
				times[i] = Math.min(times[i], wait + service(random));
			}
		}
		return times;
	}

	private static long service(SplittableRandom random) {
		return (long) (TYPICAL * (0.6 + 0.8 * random.nextDouble()));
	}

	private static Candidate candidate(int running, int waiting, int sentSince) {
		HomeLoad load = new HomeLoad(HomeLoad.State.UP, running, waiting, SLOTS, 0, (int) TYPICAL, 0);
		return new Candidate("t", true, load, sentSince, TYPICAL, 0, 0);
	}

	private static long percentile(long[] times, int percent) {
		long[] sorted = times.clone();
		Arrays.sort(sorted);
		return sorted[sorted.length * percent / 100];
	}

	private static double served(long[] times) {
		return (double) Arrays.stream(times).filter((time) -> time < TIMEOUT).count() / times.length;
	}

}
