package org.eelgrasspitch.proxy;

import java.net.InetSocketAddress;

import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.mesh.TargetLoad;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests the combined result of several attempts and the limit on tries at overloaded
 * homes.
 */
public class AttemptsTests {

	@Test
	public void overloadedServiceIsTriedAtALimitedNumberOfHomes() {
		Attempts attempts = new Attempts();
		int tried = 0;
		while (attempts.mayTryAnother() && tried < 31) {
			fail(attempts, FailureReason.OVERLOADED, tried++);
		}
		Assert.assertEquals(tried, 4);
		Assert.assertEquals(attempts.retryAfterMillis(), 200, "the shortest retry delay that a home has named");
		Assert.assertTrue(attempts.haveDefinitelyNotRun());
	}

	@Test
	public void otherFailuresDoNotCountTowardsTheOverloadLimit() {
		Attempts attempts = new Attempts();
		for (int i = 0; i < 31; i++) {
			fail(attempts, (i % 2 == 0) ? FailureReason.LEAVING : FailureReason.TARGET_DOWN, i);
		}
		Assert.assertTrue(attempts.mayTryAnother());
	}

	private static void fail(Attempts attempts, FailureReason reason, int number) {
		TargetEntry target = new TargetEntry("t" + number, "s", new InetSocketAddress("127.0.0.1", 1), "fd", 9, false,
				0, 1, 1);
		Attempt attempt = new Attempt(null, null, target, 0);
		attempts.began(attempt);
		Assert.assertFalse(attempts.failed(attempt, CallFailure.notSent(reason, 200 + number, TargetLoad.UNKNOWN)));
	}

}
