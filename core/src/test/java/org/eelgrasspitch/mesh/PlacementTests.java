package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Choice of a target by the load that its home reports.
 */
public class PlacementTests {

	private final Placement placement = new Placement(new SplittableRandom(7));

	@Test
	public void aNearTargetWithinTheObjectiveIsPreferred() {
		Assert.assertEquals(choose(near(load(2, 0, 0, 200, 0)), far(load(0, 0, 0, 100, 0))), "near");
	}

	@Test
	public void aNearTargetThatWouldMissTheObjectiveIsNotPreferred() {
		Assert.assertEquals(choose(near(load(9, 12, 500, 200, 0)), far(load(2, 0, 0, 200, 0))), "far");
	}

	@Test
	public void aSlowNearTargetIsNotPreferred() {
		Assert.assertEquals(choose(near(load(2, 0, 0, 900, 0)), far(load(4, 0, 0, 150, 0))), "far");
	}

	@Test
	public void requestsStayNearWhenEveryFailureDomainIsOverloaded() {
		// A burst in all failure domains: 8 to 16 requests wait at each target.
		SplittableRandom random = new SplittableRandom(7);
		int far = 0;
		for (int i = 0; i < 1_000; i++) {
			String choice = choose(near(overloaded(random, 8)), far(overloaded(random, 8)), far(overloaded(random, 8)));
			far += choice.equals("far") ? 1 : 0;
		}
		Assert.assertTrue(far <= 50, "requests in 1000 sent to another failure domain: " + far);
	}

	@Test
	public void requestsLeaveAFailureDomainThatAloneIsOverloaded() {
		SplittableRandom random = new SplittableRandom(8);
		for (int i = 0; i < 100; i++) {
			Assert.assertEquals(choose(near(overloaded(random, 12)), far(load(6, 0, 0, 200, 0))), "far");
		}
	}

	private static TargetLoad overloaded(SplittableRandom random, int minWaiting) {
		int waiting = random.nextInt(minWaiting, 17);
		return load(9, waiting, 200 * waiting / 9, 200, 0);
	}

	@Test
	public void aNearTargetThatFailsPartOfItsRequestsIsNotPreferred() {
		Assert.assertEquals(choose(near(load(1, 0, 0, 100, 45)), far(load(3, 0, 0, 100, 0))), "far");
	}

	@Test
	public void aRouteIsPlacedByItsOwnServiceTime() {
		// Calls of 60 ms share a target with payments of 400 ms.
		Candidate near = new Candidate("near", true, load(2, 0, 0, 300, 0), 0, 60, 0, 0);
		Candidate far = new Candidate("far", false, load(2, 0, 0, 300, 0), 0, 55, 0, 0);
		Assert.assertEquals(this.placement.choose(List.of(near, far), 200).map(Candidate::id).orElse(""), "near");
	}

	@Test
	public void theOnlyTargetIsAlwaysChosen() {
		Assert.assertEquals(choose(near(load(9, 30, 2_000, 900, 90))), "near");
	}

	@Test
	public void targetsThatAreDownOrLeavingAreNotChosen() {
		TargetLoad down = new TargetLoad(TargetLoad.State.DOWN, 0, 0, 9, 0, 100, 0, TargetStatements.NO_LIMIT);
		TargetLoad leaving = new TargetLoad(TargetLoad.State.LEAVING, 0, 0, 9, 0, 100, 0, TargetStatements.NO_LIMIT);
		Assert.assertEquals(choose(near(down), far(leaving)), "none");
	}

	@Test
	public void requestsBetweenTwoLoadReportsAreSpread() {
		int[] sent = new int[6];
		for (int i = 0; i < 60; i++) {
			List<Candidate> candidates = new ArrayList<>();
			for (int j = 0; j < sent.length; j++) {
				candidates.add(new Candidate("t" + j, true, load(0, 0, 0, 100, 0), sent[j], 0, 0, 0));
			}
			String chosen = this.placement.choose(candidates, 600).orElseThrow().id();
			sent[Integer.parseInt(chosen.substring(1))]++;
		}
		for (int count : sent) {
			Assert.assertTrue(count >= 8 && count <= 12, "sent to one of six: " + count);
		}
	}

	private String choose(Candidate... candidates) {
		return this.placement.choose(List.of(candidates), 600).map(Candidate::id).orElse("none");
	}

	private static Candidate near(TargetLoad load) {
		return new Candidate("near", true, load, 0, 0, 0, 0);
	}

	private static Candidate far(TargetLoad load) {
		return new Candidate("far", false, load, 0, 0, 0, 0);
	}

	private static TargetLoad load(int running, int waiting, int waitMillis, int serviceMillis, int failurePercent) {
		return new TargetLoad(TargetLoad.State.UP, running, waiting, 9, waitMillis, serviceMillis, failurePercent,
				TargetStatements.NO_LIMIT);
	}

}
