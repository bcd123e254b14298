package org.eelgrasspitch;

import org.eelgrasspitch.request.BurnRateMeter;
import org.eelgrasspitch.text.RouteKey;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests the counts over both windows and the computation of the burn rate.
 */
public class BurnRateMeterTests {

	private static final RouteKey ROUTE = new RouteKey("s", "o");

	@Test
	public void windowsExcludeOlderRequests() {
		BurnRateMeter meter = new BurnRateMeter();
		meter.record(ROUTE, false, 0);
		meter.record(ROUTE, true, BurnRateMeter.SHORT_WINDOW_MILLIS);
		Assert.assertEquals(meter.counts(ROUTE, BurnRateMeter.SHORT_WINDOW_MILLIS, BurnRateMeter.SHORT_WINDOW_MILLIS),
				new BurnRateMeter.Counts(1, 0));
		Assert.assertEquals(meter.counts(ROUTE, BurnRateMeter.LONG_WINDOW_MILLIS, BurnRateMeter.SHORT_WINDOW_MILLIS),
				new BurnRateMeter.Counts(1, 1));
		meter.record(ROUTE, true, BurnRateMeter.LONG_WINDOW_MILLIS);
		Assert.assertEquals(meter.counts(ROUTE, BurnRateMeter.LONG_WINDOW_MILLIS, BurnRateMeter.LONG_WINDOW_MILLIS),
				new BurnRateMeter.Counts(2, 0));
	}

	@Test
	public void burnRateIsBadShareOverPermittedShare() {
		Assert.assertEquals(new BurnRateMeter.Counts(998, 2).burnRate(999), 2, 1e-9);
		Assert.assertEquals(new BurnRateMeter.Counts(0, 0).burnRate(999), 0, 0);
	}

}
