package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.List;

import org.eelgrasspitch.mesh.FleetRetryBudget.Purpose;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Simulates a service whose targets all fail while every request may be retried; without
 * a limit, the retries multiply the load.
 */
public class FleetRetryBudgetTests {

	private static final int NODES = 12;

	private static final double RATIO = 0.2;

	private static final int MINIMUM = 56;

	private static final long WINDOW_MILLIS = 10_000;

	/** Requests that run at a target of service "front" for each one to "back". */
	private static final int FRONT_RUNS = 4;

	@Test
	public void theFleetStaysWithinItsBudgetInEveryWindow() {
		List<FleetRetryBudget> budgets = new ArrayList<>();
		for (int i = 0; i < NODES; i++) {
			budgets.add(new FleetRetryBudget(RATIO, MINIMUM, WINDOW_MILLIS));
		}
		List<Long> requests = new ArrayList<>();
		List<Long> retries = new ArrayList<>();
		for (long now = 0; now < 30_000; now += 10) {
			FleetRetryBudget budget = budgets.get((int) (now / 10 % NODES));
			budget.recordRequest("s", now);
			requests.add(now);
			// One in three nodes knows only half of the nodes.
			int assumedNodes = (now / 10 % 3 == 0) ? NODES / 2 : NODES;
			for (int i = 0; i < 3; i++) {
				if (budget.tryAcquire("s", assumedNodes, (i == 0) ? Purpose.NOT_RUN : Purpose.FAILED, now)) {
					retries.add(now);
				}
			}
		}
		for (long end = 0; end < 30_000; end += 500) {
			long allowed = Math.round(RATIO * countInWindow(requests, end)) + MINIMUM;
			Assert.assertTrue(countInWindow(retries, end) <= allowed, "window that ends at " + end);
		}
		Assert.assertTrue(retries.size() > 100, "the budget allows retries");
	}

	@Test
	public void servicesDoNotShareABudget() {
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, MINIMUM, WINDOW_MILLIS);
		while (budget.tryAcquire("a", 1, Purpose.FAILED, 0)) {
			Assert.assertTrue(budget.available("a", 1, 0) < MINIMUM);
		}
		Assert.assertTrue(budget.tryAcquire("b", 1, Purpose.FAILED, 0));
	}

	@Test
	public void callsOfRetriedRequestsCountAsRetries() {
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, MINIMUM, WINDOW_MILLIS);
		int before = budget.available("s", 1, 0);
		for (int i = 0; i < 20; i++) {
			budget.recordProbableRetry("s", 0.5, 0);
		}
		Assert.assertEquals(budget.available("s", 1, 0), before - 10);
		Assert.assertEquals(budget.available("s", 1, WINDOW_MILLIS), before);
	}

	@Test
	public void retriesOfUnexecutedRequestsLeaveAShareForFailedOnes() {
		FleetRetryBudget budget = new FleetRetryBudget(RATIO, MINIMUM, WINDOW_MILLIS);
		int taken = 0;
		while (budget.tryAcquire("s", 1, Purpose.NOT_RUN, 0)) {
			taken++;
		}
		Assert.assertTrue(budget.available("s", 1, 0) >= taken);
		Assert.assertTrue(budget.tryAcquire("s", 1, Purpose.FAILED, 0));
	}

	@Test
	public void nestedCallsOfRetriedRequestsKeepToTheBudgetOfTheCalledService() {
		Assert.assertTrue(exceedsBudgetOfCalledService(false), "the load exceeds the budget without the limit");
		Assert.assertFalse(exceedsBudgetOfCalledService(true));
	}

	/**
	 * Every target of service "front" calls service "back" once in each run. The targets
	 * of both services shed requests, so that each node retries as much as its budget
	 * allows. One third of the nodes are homes of "front", and 45 of 100 runs there are
	 * retried ones.
	 */
	private static boolean exceedsBudgetOfCalledService(boolean limited) {
		List<FleetRetryBudget> budgets = new ArrayList<>();
		List<NestedCallRates> rates = new ArrayList<>();
		for (int i = 0; i < NODES; i++) {
			budgets.add(new FleetRetryBudget(RATIO, MINIMUM, WINDOW_MILLIS));
			rates.add(new NestedCallRates());
		}
		List<Long> requests = new ArrayList<>();
		List<Long> repeats = new ArrayList<>();
		for (long now = 0; now < 30_000; now += 10) {
			int node = (int) (now / 10 % NODES);
			FleetRetryBudget budget = budgets.get(node);
			budget.recordRequest("back", now);
			requests.add(now);
			if (budget.tryAcquire("back", NODES, Purpose.FAILED, now)) {
				repeats.add(now);
			}
			for (int run = 0; node % 3 == 0 && run < FRONT_RUNS; run++) {
				boolean retried = (now / 10 + run) % 100 < 45;
				if (retried && limited && !rates.get(node).permitRetriedRun(budget, NODES, now)) {
					continue;
				}
				rates.get(node).recordRun();
				rates.get(node).recordCall("back");
				budget.recordRequest("back", now);
				requests.add(now);
				if (retried) {
					budget.recordProbableRetry("back", 1, now);
					repeats.add(now);
				}
			}
		}
		for (long end = 0; end < 30_000; end += 500) {
			if (countInWindow(repeats, end) > Math.round(RATIO * countInWindow(requests, end)) + MINIMUM) {
				return true;
			}
		}
		return false;
	}

	private static long countInWindow(List<Long> times, long end) {
		return times.stream().filter((time) -> time > end - WINDOW_MILLIS && time <= end).count();
	}

}
