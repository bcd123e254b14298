package org.eelgrasspitch.mesh;

import java.util.List;

import org.eelgrasspitch.mesh.HomeQueue.Job;
import org.eelgrasspitch.mesh.OverloadReplay.Result;
import org.eelgrasspitch.mesh.OverloadReplay.Shape;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * The home's queue under its worst loads, compared with a queue in the order of arrival.
 */
public class HomeQueueTests {

	private static final Shape LOOKUP = new Shape(2, 220, 600, 4_000);

	private static final Shape PAYMENT = new Shape(1, 290, 800, 5_000);

	private static final Shape INTERNAL = new Shape(HomeQueue.CALL_RANK, 55, 200, 600);

	private static final int SLOTS = 9;

	/** Lookups a second that nine slots can serve. */
	private static final double CAPACITY = SLOTS * 1_000 / 220.0;

	@Test
	public void aBurstServesManyInTimeWhereOrderOfArrivalServesNone() {
		OverloadReplay replay = new OverloadReplay(SLOTS, 1).load(1.7 * CAPACITY, 0, 12_000, LOOKUP);
		long chosen = OverloadReplay.onTime(replay.withHomeQueue(), LOOKUP);
		long naive = OverloadReplay.onTime(replay.inOrderOfArrival(), LOOKUP);
		Assert.assertTrue(chosen >= 0.8 * CAPACITY * 12, "in time: " + chosen);
		Assert.assertTrue(chosen > 3 * naive, chosen + " against " + naive);
	}

	@Test
	public void theMoreImportantAreServedThroughABurstOfOthers() {
		OverloadReplay replay = new OverloadReplay(SLOTS, 2).load(1.5 * CAPACITY, 0, 10_000, LOOKUP)
			.load(8, 0, 10_000, PAYMENT)
			.load(20, 0, 10_000, INTERNAL);
		List<Result> results = replay.withHomeQueue();
		Assert.assertTrue(share(results, PAYMENT) >= 0.97, "payments in time: " + share(results, PAYMENT));
		Assert.assertTrue(share(results, INTERNAL) >= 0.97, "calls of targets in time: " + share(results, INTERNAL));
	}

	@Test
	public void belowCapacityNothingIsRefused() {
		OverloadReplay replay = new OverloadReplay(SLOTS, 3).load(0.8 * CAPACITY, 0, 20_000, LOOKUP);
		List<Result> results = replay.withHomeQueue();
		Assert.assertEquals(OverloadReplay.served(results, LOOKUP), results.size());
	}

	@Test
	public void refusalsAreTold() {
		OverloadReplay replay = new OverloadReplay(SLOTS, 4).load(3 * CAPACITY, 0, 5_000, LOOKUP);
		List<Result> refused = replay.withHomeQueue().stream().filter((result) -> !result.served()).toList();
		long atOnce = refused.stream().filter((result) -> result.tookMillis() <= 30).count();
		long beforeObjective = refused.stream()
			.filter((result) -> result.tookMillis() <= LOOKUP.objectiveMillis())
			.count();
		Assert.assertTrue(refused.size() > 100, "the load is an overload");
		Assert.assertTrue(beforeObjective >= 0.95 * refused.size(), beforeObjective + " of " + refused.size());
		Assert.assertTrue(atOnce > 0, "some are told at once");
	}

	@Test
	public void workThatWaitsCanBeTakenBackAndWorkThatRunsCannot() {
		HomeQueue<String> queue = new HomeQueue<>();
		Assert.assertEquals(queue.offer(new Job<>("a", 1, 1_000, 2_000, 100), 1, 0).started(), List.of("a"));
		Assert.assertEquals(queue.offer(new Job<>("b", 1, 1_000, 2_000, 100), 1, 0).started(), List.of());
		Assert.assertFalse(queue.remove("a"));
		Assert.assertTrue(queue.remove("b"));
		Assert.assertEquals(queue.release(1, 50).started(), List.of());
		Assert.assertEquals(queue.running(), 0);
	}

	@Test
	public void workThatCannotBeServedBeforeItsDeadlineIsRefusedAtOnce() {
		HomeQueue<String> queue = new HomeQueue<>();
		queue.offer(new Job<>("a", 1, 1_000, 2_000, 100), 1, 0);
		Assert.assertTrue(queue.offer(new Job<>("b", 1, 10, 90, 100), 1, 0).refusal("b").isPresent());
	}

	@Test
	public void urgentShortWorkIsServedAtATargetThatIsFullOfLongWork() {
		// One target is left of three: nine slots, work of 880 ms at twice the capacity.
		Shape history = new Shape(2, 880, 2_500, 15_000);
		Shape call = new Shape(HomeQueue.CALL_RANK, 55, 585, 585);
		OverloadReplay replay = new OverloadReplay(SLOTS, 5).load(20, 0, 20_000, history).load(25, 0, 20_000, call);
		long calls = replay.withHomeQueue().stream().filter((result) -> result.arrival().shape() == call).count();
		long served = OverloadReplay.served(replay.withHomeQueue(), call);
		Assert.assertTrue(served >= 0.95 * calls, served + " of " + calls);
		Shape withObjective = new Shape(HomeQueue.CALL_RANK, 55, 200, 585);
		OverloadReplay former = new OverloadReplay(SLOTS, 5).load(20, 0, 20_000, history)
			.load(25, 0, 20_000, withObjective);
		Assert.assertTrue(OverloadReplay.served(former.withHomeQueue(), withObjective) < served);
	}

	@Test
	public void aRouteThatWasNeverObservedIsNotRefusedForTheTimesOfOthers() {
		ServiceTimes times = new ServiceTimes();
		times.observed("history", 900, 0);
		Assert.assertTrue(times.expected("record", 0) <= 100, "expected: " + times.expected("record", 0));
		times.observed("record", 900, 0);
		Assert.assertTrue(times.expected("record", 60_000) <= 100, "a slow phase of a minute ago");
		HomeQueue<String> queue = new HomeQueue<>();
		Assert.assertEquals(queue.offer(new Job<>("a", -1, 200, 600, 900), 1, 0).started(), List.of("a"));
		queue.offer(new Job<>("b", -1, 200, 600, 50), 1, 0);
		Assert.assertEquals(queue.release(1, 580).started(), List.of("b"), "its caller still waits");
	}

	private static double share(List<Result> results, Shape shape) {
		long all = results.stream().filter((result) -> result.arrival().shape() == shape).count();
		return OverloadReplay.onTime(results, shape) / (double) all;
	}

}
