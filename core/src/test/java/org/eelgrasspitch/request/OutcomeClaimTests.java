package org.eelgrasspitch.request;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * What an entry node claims about a request that earlier attempts may have run.
 */
public class OutcomeClaimTests {

	@DataProvider
	public Object[][] reasonsWithoutRecords() {
		return new Object[][] { { Reason.HOME_UNREACHABLE }, { Reason.NOT_READY }, { Reason.NO_ROUTE } };
	}

	@Test(dataProvider = "reasonsWithoutRecords")
	public void resentPaymentIsNotReportedAsNotRunWithoutTheRecords(Reason reason) {
		CallOutcome refusal = new CallOutcome.NotRun(reason, 500);
		Assert.assertEquals(OutcomeClaim.reconcile(refusal, true, false, false), new CallOutcome.Unknown(reason));
		Assert.assertEquals(OutcomeClaim.reconcile(refusal, true, true, false), refusal);
		Assert.assertEquals(OutcomeClaim.reconcile(refusal, false, false, false), refusal);
	}

	@Test
	public void refusalOfTheHomeWithRecordsIsPassedOn() {
		CallOutcome refusal = new CallOutcome.NotRun(Reason.LEAVING, 500);
		Assert.assertEquals(OutcomeClaim.reconcile(refusal, true, false, false), refusal);
	}

	@Test
	public void refusalHereOfAResentPaymentIsUnknown() {
		Assert.assertEquals(OutcomeClaim.refused(Reason.NOT_READY, 1_000, true, false),
				new CallOutcome.Unknown(Reason.NOT_READY));
		Assert.assertEquals(OutcomeClaim.refused(Reason.NOT_READY, 1_000, true, true),
				new CallOutcome.NotRun(Reason.NOT_READY, 1_000));
		Assert.assertEquals(OutcomeClaim.refused(Reason.LEAVING, 1_000, false, false),
				new CallOutcome.NotRun(Reason.LEAVING, 1_000));
	}

	@Test
	public void attemptThatMayHaveRunOverridesALaterRefusal() {
		Assert.assertEquals(OutcomeClaim.reconcile(new CallOutcome.NotRun(Reason.OVERLOADED, 100), false, true, true),
				new CallOutcome.Unknown(Reason.OVERLOADED));
	}

	@Test
	public void restartedHomeHasNotRunAFirstAttempt() {
		CallOutcome restarted = new CallOutcome.Unknown(Reason.HOME_RESTARTED);
		Assert.assertEquals(OutcomeClaim.reconcile(restarted, true, true, false),
				new CallOutcome.NotRun(Reason.HOME_RESTARTED, 0));
		Assert.assertEquals(OutcomeClaim.reconcile(restarted, true, false, false), restarted);
	}

}
