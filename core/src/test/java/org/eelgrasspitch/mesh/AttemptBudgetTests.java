package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.List;

import org.eelgrasspitch.mesh.AttemptBudget.Purpose;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Replays a service whose targets all fail while every request is worth repeating.
 */
public class AttemptBudgetTests {

	private static final int NODES = 12;

	private static final double RATIO = 0.2;

	private static final int MINIMUM = 56;

	private static final long WINDOW = 10_000;

	@Test
	public void theFleetStaysWithinItsBudgetInEveryWindow() {
		List<AttemptBudget> budgets = new ArrayList<>();
		for (int i = 0; i < NODES; i++) {
			budgets.add(new AttemptBudget(RATIO, MINIMUM, WINDOW));
		}
		List<Long> requests = new ArrayList<>();
		List<Long> repeats = new ArrayList<>();
		for (long now = 0; now < 30_000; now += 10) {
			AttemptBudget budget = budgets.get((int) (now / 10 % NODES));
			budget.sent("s", now);
			requests.add(now);
			// One in three nodes believes that only half of the nodes exist.
			int believed = (now / 10 % 3 == 0) ? NODES / 2 : NODES;
			for (int i = 0; i < 3; i++) {
				if (budget.tryTake("s", believed, (i == 0) ? Purpose.NOT_RUN : Purpose.FAILED, now)) {
					repeats.add(now);
				}
			}
		}
		for (long end = 0; end < 30_000; end += 500) {
			long allowed = Math.round(RATIO * within(requests, end)) + MINIMUM;
			Assert.assertTrue(within(repeats, end) <= allowed, "window that ends at " + end);
		}
		Assert.assertTrue(repeats.size() > 100, "repeats are not forbidden altogether");
	}

	@Test
	public void servicesDoNotShareABudget() {
		AttemptBudget budget = new AttemptBudget(RATIO, MINIMUM, WINDOW);
		while (budget.tryTake("a", 1, Purpose.FAILED, 0)) {
			Assert.assertTrue(budget.left("a", 1, 0) < MINIMUM);
		}
		Assert.assertTrue(budget.tryTake("b", 1, Purpose.FAILED, 0));
	}

	@Test
	public void callsOfRepeatedRequestsCountAsRepeats() {
		AttemptBudget budget = new AttemptBudget(RATIO, MINIMUM, WINDOW);
		int before = budget.left("s", 1, 0);
		for (int i = 0; i < 20; i++) {
			budget.repeated("s", 0.5, 0);
		}
		Assert.assertEquals(budget.left("s", 1, 0), before - 10);
		Assert.assertEquals(budget.left("s", 1, WINDOW), before);
	}

	@Test
	public void callersThatCanComeBackLeaveAPartToThoseThatCannot() {
		AttemptBudget budget = new AttemptBudget(RATIO, MINIMUM, WINDOW);
		int taken = 0;
		while (budget.tryTake("s", 1, Purpose.NOT_RUN, 0)) {
			taken++;
		}
		Assert.assertTrue(budget.left("s", 1, 0) >= taken);
		Assert.assertTrue(budget.tryTake("s", 1, Purpose.FAILED, 0));
	}

	private static long within(List<Long> times, long end) {
		return times.stream().filter((time) -> time > end - WINDOW && time <= end).count();
	}

}
