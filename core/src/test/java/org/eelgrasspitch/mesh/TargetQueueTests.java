package org.eelgrasspitch.mesh;

import java.util.List;

import org.eelgrasspitch.mesh.OverloadSimulation.Result;
import org.eelgrasspitch.mesh.OverloadSimulation.Workload;
import org.eelgrasspitch.mesh.TargetQueue.Job;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Compares the target queue with a FIFO queue under overload, where a FIFO queue serves
 * almost no request in time.
 */
public class TargetQueueTests {

	private static final Workload LOOKUP = new Workload(2, 220, 600, 4_000);

	private static final Workload PAYMENT = new Workload(1, 290, 800, 5_000);

	private static final Workload NESTED_CALL = new Workload(TargetQueue.NESTED_CALL_RANK, 55, 200, 600);

	private static final int SLOTS = 9;

	/** Lookups per second that nine slots can serve. */
	private static final double CAPACITY_PER_SECOND = SLOTS * 1_000 / 220.0;

	@Test
	public void moreObjectivesAreMetThanByAFifoQueueDuringABurst() {
		OverloadSimulation simulation = new OverloadSimulation(SLOTS, 1).addLoad(1.7 * CAPACITY_PER_SECOND, 0, 12_000,
				LOOKUP);
		long onTimeTargetQueue = OverloadSimulation.onTime(simulation.runTargetQueue(), LOOKUP);
		long onTimeFifo = OverloadSimulation.onTime(simulation.runFifoQueue(), LOOKUP);
		Assert.assertTrue(onTimeTargetQueue >= 0.8 * CAPACITY_PER_SECOND * 12, "in time: " + onTimeTargetQueue);
		Assert.assertTrue(onTimeTargetQueue > 3 * onTimeFifo,
				onTimeTargetQueue + " in time, FIFO queue: " + onTimeFifo);
	}

	@Test
	public void higherRanksMeetTheirObjectivesDuringABurstOfLowerRanks() {
		OverloadSimulation simulation = new OverloadSimulation(SLOTS, 2)
			.addLoad(1.5 * CAPACITY_PER_SECOND, 0, 10_000, LOOKUP)
			.addLoad(8, 0, 10_000, PAYMENT)
			.addLoad(20, 0, 10_000, NESTED_CALL);
		List<Result> results = simulation.runTargetQueue();
		Assert.assertTrue(onTimeShare(results, PAYMENT) >= 0.97, "payments in time: " + onTimeShare(results, PAYMENT));
		Assert.assertTrue(onTimeShare(results, NESTED_CALL) >= 0.97,
				"nested calls in time: " + onTimeShare(results, NESTED_CALL));
	}

	@Test
	public void belowCapacityNothingIsRefused() {
		OverloadSimulation simulation = new OverloadSimulation(SLOTS, 3).addLoad(0.8 * CAPACITY_PER_SECOND, 0, 20_000,
				LOOKUP);
		List<Result> results = simulation.runTargetQueue();
		Assert.assertEquals(OverloadSimulation.served(results, LOOKUP), results.size());
	}

	@Test
	public void refusalsAreReportedBeforeTheObjective() {
		OverloadSimulation simulation = new OverloadSimulation(SLOTS, 4).addLoad(3 * CAPACITY_PER_SECOND, 0, 5_000,
				LOOKUP);
		List<Result> refused = simulation.runTargetQueue().stream().filter((result) -> !result.served()).toList();
		long atOnce = refused.stream().filter((result) -> result.tookMillis() <= 30).count();
		long beforeObjective = refused.stream()
			.filter((result) -> result.tookMillis() <= LOOKUP.objectiveMillis())
			.count();
		Assert.assertTrue(refused.size() > 100, "the load exceeds the capacity");
		Assert.assertTrue(beforeObjective >= 0.95 * refused.size(), beforeObjective + " of " + refused.size());
		Assert.assertTrue(atOnce > 0, "some requests are refused within 30 ms");
	}

	@Test
	public void workThatItsHomeCannotFinishBeforeItClosesIsRefusedAtOnce() {
		TargetQueue<String> queue = new TargetQueue<>(new StartPacer(StartPacer.DEFAULT_SETTLE_MILLIS));
		queue.offer(new Job<>("running", 1, 9_000, 9_000, 100), 1, 0);
		queue.offer(new Job<>("waiting", 1, 9_000, 9_000, 400), 1, 0);
		queue.setEnd(500);
		Assert.assertTrue(queue.offer(new Job<>("second", 1, 9_000, 9_000, 400), 1, 50).refusal("second").isPresent());
		Assert.assertEquals(queue.waiting(), 1);
		Assert.assertTrue(queue.release(1, 150).refusal("waiting").isPresent(), "starts too late to end in time");
		Assert.assertTrue(queue.offer(new Job<>("late", 1, 9_000, 9_000, 400), 1, 150).refusal("late").isPresent());
		Assert.assertEquals(queue.offer(new Job<>("short", 1, 9_000, 9_000, 300), 1, 150).started(), List.of("short"));
	}

	@Test
	public void onlyWaitingWorkCanBeRemoved() {
		TargetQueue<String> queue = new TargetQueue<>(new StartPacer(StartPacer.DEFAULT_SETTLE_MILLIS));
		Assert.assertEquals(queue.offer(new Job<>("a", 1, 1_000, 2_000, 100), 1, 0).started(), List.of("a"));
		Assert.assertEquals(queue.offer(new Job<>("b", 1, 1_000, 2_000, 100), 1, 0).started(), List.of());
		Assert.assertFalse(queue.remove("a"));
		Assert.assertTrue(queue.remove("b"));
		Assert.assertEquals(queue.release(1, 50).started(), List.of());
		Assert.assertEquals(queue.running(), 0);
	}

	@Test
	public void workThatCannotBeServedBeforeItsDeadlineIsRefusedAtOnce() {
		TargetQueue<String> queue = new TargetQueue<>(new StartPacer(StartPacer.DEFAULT_SETTLE_MILLIS));
		queue.offer(new Job<>("a", 1, 1_000, 2_000, 100), 1, 0);
		Assert.assertTrue(queue.offer(new Job<>("b", 1, 10, 90, 100), 1, 0).refusal("b").isPresent());
	}

	@Test
	public void nestedCallsAreServedAtATargetFullOfLongWork() {
		// One of three targets remains: nine slots, requests of 880 ms at twice the
		// capacity.
		Workload history = new Workload(2, 880, 2_500, 15_000);
		Workload call = new Workload(TargetQueue.NESTED_CALL_RANK, 55, 585, 585);
		OverloadSimulation simulation = new OverloadSimulation(SLOTS, 5).addLoad(20, 0, 20_000, history)
			.addLoad(25, 0, 20_000, call);
		long calls = simulation.runTargetQueue()
			.stream()
			.filter((result) -> result.arrival().workload() == call)
			.count();
		long served = OverloadSimulation.served(simulation.runTargetQueue(), call);
		Assert.assertTrue(served >= 0.95 * calls, served + " of " + calls);
		Workload withObjective = new Workload(TargetQueue.NESTED_CALL_RANK, 55, 200, 585);
		OverloadSimulation simulationWithObjective = new OverloadSimulation(SLOTS, 5).addLoad(20, 0, 20_000, history)
			.addLoad(25, 0, 20_000, withObjective);
		Assert.assertTrue(OverloadSimulation.served(simulationWithObjective.runTargetQueue(), withObjective) < served);
	}

	@Test
	public void anUnobservedRouteIsNotRefusedForOtherRoutesTimes() {
		ServiceTimes times = new ServiceTimes();
		times.observe("history", 900, 0);
		Assert.assertTrue(times.expectedMillis("record", 0) <= 100, "expected: " + times.expectedMillis("record", 0));
		times.observe("record", 900, 0);
		Assert.assertTrue(times.expectedMillis("record", 60_000) <= 100, "an observation of a minute ago is stale");
		TargetQueue<String> queue = new TargetQueue<>(new StartPacer(StartPacer.DEFAULT_SETTLE_MILLIS));
		Assert.assertEquals(queue.offer(new Job<>("a", -1, 200, 600, 900), 1, 0).started(), List.of("a"));
		queue.offer(new Job<>("b", -1, 200, 600, 50), 1, 0);
		Assert.assertEquals(queue.release(1, 580).started(), List.of("b"), "the deadline has not passed");
	}

	private static double onTimeShare(List<Result> results, Workload workload) {
		long all = results.stream().filter((result) -> result.arrival().workload() == workload).count();
		return OverloadSimulation.onTime(results, workload) / (double) all;
	}

}
