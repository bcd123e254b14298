package org.eelgrasspitch.proxy;

import java.net.InetSocketAddress;

import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.mesh.TargetLoad;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * What is known of a request after its attempts.
 */
public class AttemptsTests {

	@Test
	public void aLargeServiceThatIsOverloadedIsNotAskedAsAWhole() {
		Attempts attempts = new Attempts();
		int asked = 0;
		while (attempts.mayAskAnother() && asked < 31) {
			fail(attempts, FailureReason.OVERLOADED, asked++);
		}
		Assert.assertEquals(asked, 4);
		Assert.assertEquals(attempts.returnMillis(), 200, "the earliest that any of them has named");
		Assert.assertTrue(attempts.haveSurelyNotRun());
	}

	@Test
	public void homesThatCannotServeForAnotherReasonDoNotCount() {
		Attempts attempts = new Attempts();
		for (int i = 0; i < 31; i++) {
			fail(attempts, (i % 2 == 0) ? FailureReason.LEAVING : FailureReason.TARGET_DOWN, i);
		}
		Assert.assertTrue(attempts.mayAskAnother());
	}

	private static void fail(Attempts attempts, FailureReason reason, int number) {
		TargetEntry target = new TargetEntry("t" + number, "s", new InetSocketAddress("127.0.0.1", 1), "fd", 9, false,
				0, 1, 1);
		Attempt attempt = new Attempt(null, target, 0);
		attempts.began(attempt);
		Assert.assertFalse(attempts.failed(attempt, CallFailure.notSent(reason, 200 + number, TargetLoad.UNKNOWN)));
	}

}
