package org.eelgrasspitch.mesh;

import java.util.List;
import java.util.SplittableRandom;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * A node that has just started on a small VM and has less processor time than the
 * requests for its target need.
 */
public class HandlingDelayTests {

	private static final long OBJECTIVE_MILLIS = 600;

	private static final int REQUESTS = 1_000;

	@Test
	public void aLongDelayCountsAtOnceAndIsHalved() {
		HandlingDelay delay = new HandlingDelay();
		delay.record(800, 10_000);
		Assert.assertEquals(delay.currentMillis(10_000), 800, 0.1);
		delay.record(0, 10_250);
		Assert.assertEquals(delay.currentMillis(10_500), 400, 0.1);
		delay.record(600, 10_500);
		Assert.assertEquals(delay.currentMillis(10_500), 600, 0.1);
		Assert.assertEquals(delay.currentMillis(12_500), 37.5, 0.1);
	}

	// Callers left while the node stood still, and their requests were sent on.
	@Test
	public void nodeIsBehindFromTheMomentAtWhichItsTaskIsLate() {
		HandlingDelay delay = new HandlingDelay();
		Assert.assertFalse(delay.isBehind(5_000), "before the first run of the task");
		Assert.assertEquals(delay.tick(5_000), 0);
		Assert.assertFalse(delay.isBehind(5_300));
		Assert.assertTrue(delay.isBehind(5_301));
		Assert.assertTrue(delay.isBehind(6_050));
		Assert.assertEquals(delay.tick(6_050), 800);
		Assert.assertTrue(delay.isBehind(6_050));
		Assert.assertEquals(delay.tick(6_300), 0);
		Assert.assertTrue(delay.isBehind(6_300));
	}

	@Test
	public void nodeThatHasCaughtUpIsNotBehind() {
		HandlingDelay delay = new HandlingDelay();
		delay.tick(1_000);
		delay.tick(2_050);
		for (long now = 2_300; now <= 4_300; now += HandlingDelay.TICK_INTERVAL_MILLIS) {
			delay.tick(now);
		}
		Assert.assertFalse(delay.isBehind(4_300));
	}

	// Requests to a new home waited in its sockets until their time was over.
	@Test
	public void requestsTurnToOtherTargetsWhileAHomeIsBehind() {
		Assert.assertEquals(requestsSentToTheStartingHome(800), 0);
		int whenInTime = requestsSentToTheStartingHome(0);
		Assert.assertTrue(whenInTime > REQUESTS / 8, "sent " + whenInTime);
	}

	private static int requestsSentToTheStartingHome(long lateMillis) {
		Placement placement = new Placement(new SplittableRandom(1));
		HandlingDelay delay = new HandlingDelay();
		delay.record(lateMillis, 1_000);
		TargetLoad idle = new TargetLoad(TargetLoad.State.UP, 0, 0, 6, 0, 200, 0, TargetStatements.NO_LIMIT);
		TargetLoad busy = new TargetLoad(TargetLoad.State.UP, 5, 0, 6, 0, 200, 0, TargetStatements.NO_LIMIT);
		List<Candidate> candidates = List.of(candidate("starting", idle.delayedBy(delay.currentMillis(1_000))),
				candidate("t1", busy), candidate("t2", busy), candidate("t3", busy));
		int sent = 0;
		for (int i = 0; i < REQUESTS; i++) {
			sent += placement.choose(candidates, OBJECTIVE_MILLIS).orElseThrow().id().equals("starting") ? 1 : 0;
		}
		return sent;
	}

	private static Candidate candidate(String id, TargetLoad load) {
		return new Candidate(id, true, load, 0, 0, 0, 0);
	}

}
