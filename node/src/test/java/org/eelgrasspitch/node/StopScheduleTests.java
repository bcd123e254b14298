package org.eelgrasspitch.node;

import org.eelgrasspitch.node.StopSchedule.Step;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A stop whose steps come in another order, or not at all, with some settings.
 */
public class StopScheduleTests {

	private static final long MIN = StopSchedule.MIN_DRAIN_MILLIS;

	private static final long ANSWER = StopSchedule.LAST_ANSWERS_MILLIS;

	@DataProvider
	public Object[][] drainMillis() {
		return new Object[][] { { 0L }, { MIN - 1 }, { MIN }, { MIN + 1 }, { 30_000L } };
	}

	@Test(dataProvider = "drainMillis")
	public void nodeClosesBeforeTheLastAnswers(long drainMillis) {
		StopSchedule schedule = new StopSchedule(7, drainMillis);
		long end = 7 + Math.max(MIN, drainMillis);
		for (long now = 7; now < end; now++) {
			Assert.assertEquals(schedule.next(now, true, 1), Step.WAIT, "at " + now);
		}
		Assert.assertEquals(schedule.next(end, true, 1), Step.SEND_LAST_ANSWERS);
		Assert.assertEquals(schedule.next(end + ANSWER - 1, true, 1), Step.WAIT);
		Assert.assertEquals(schedule.next(end + ANSWER, true, 1), Step.CLOSE);
	}

	@Test(dataProvider = "drainMillis")
	public void nodeThatWakesLateClosesWithoutTheLastAnswers(long drainMillis) {
		StopSchedule schedule = new StopSchedule(7, drainMillis);
		Assert.assertEquals(schedule.next(90_000, true, 1), Step.SEND_LAST_ANSWERS);
		Assert.assertEquals(schedule.next(90_001, true, 1), Step.WAIT);
		Assert.assertEquals(schedule.next(90_002, true, 0), Step.CLOSE);
	}

	@Test(dataProvider = "drainMillis")
	public void nodeWithNothingToDoRunsOn(long drainMillis) {
		StopSchedule schedule = new StopSchedule(7, drainMillis);
		Assert.assertEquals(schedule.next(6 + MIN, true, 0), Step.WAIT);
		Assert.assertEquals(schedule.next(7 + MIN, true, 0), Step.CLOSE);
	}

	@Test
	public void nodeClosesBeforeItsPeersKnow() {
		StopSchedule schedule = new StopSchedule(7, 30_000);
		Assert.assertEquals(schedule.next(7 + MIN, false, 0), Step.WAIT);
		Assert.assertEquals(schedule.next(7 + 30_000, false, 0), Step.CLOSE);
	}

}
