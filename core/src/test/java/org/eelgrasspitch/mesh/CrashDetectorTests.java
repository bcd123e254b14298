package org.eelgrasspitch.mesh;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.eelgrasspitch.mesh.CrashDetector.Step;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * How the crash of a busy target is told from connections that it broke off.
 */
public class CrashDetectorTests {

	private CrashDetector<String, Integer> detector;

	@BeforeMethod
	public void create() {
		this.detector = new CrashDetector<>();
	}

	/**
	 * A target with all slots in use crashes; its connections are seen to close in turn.
	 */
	@Test
	public void crashUnderManyCallsSuspectsAllOfThem() {
		Set<Integer> open = new HashSet<>();
		for (int i = 0; i < 18; i++) {
			open.add(i);
		}
		List<Step> steps = new ArrayList<>();
		for (int i = 0; i < 18; i++) {
			open.remove(i);
			steps.add(this.detector.add("call" + i, open));
		}
		Assert.assertEquals(steps.getFirst(), Step.CHECK_LATER);
		Assert.assertEquals(Set.copyOf(steps.subList(1, 18)), Set.of(Step.WAIT));
		Assert.assertEquals(this.detector.check(open), Step.CONNECT);
		Assert.assertEquals(this.detector.takeSuspects().size(), 18);
	}

	@Test
	public void connectionThatStaysOpenProvesThatTheTargetLives() {
		Assert.assertEquals(this.detector.add("broken", Set.of(1, 2)), Step.CHECK_LATER);
		Assert.assertEquals(this.detector.check(Set.of(2)), Step.FAIL_AS_BROKEN_OFF);
		Assert.assertEquals(this.detector.takeSuspects(), List.of("broken"));
	}

	@Test
	public void connectionToASuccessorProvesNothing() {
		Assert.assertEquals(this.detector.add("broken", Set.of(1, 2)), Step.CHECK_LATER);
		Assert.assertEquals(this.detector.check(Set.of(3)), Step.CONNECT);
	}

	@Test
	public void callOnTheOnlyConnectionIsDecidedAtOnce() {
		Assert.assertEquals(this.detector.add("broken", Set.of()), Step.CONNECT);
		Assert.assertEquals(this.detector.takeSuspects(), List.of("broken"));
		Assert.assertEquals(this.detector.add("next", Set.of(4)), Step.CHECK_LATER);
	}

}
