package org.eelgrasspitch;

import org.eelgrasspitch.request.BurnMeter;
import org.eelgrasspitch.text.RouteKey;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Checks windows and burn rates.
 */
public class BurnMeterTests {

	private static final RouteKey ROUTE = new RouteKey("s", "o");

	@Test
	public void windowsForgetWhatIsOlder() {
		BurnMeter meter = new BurnMeter();
		meter.record(ROUTE, false, 0);
		meter.record(ROUTE, true, BurnMeter.SHORT_MILLIS);
		Assert.assertEquals(meter.counts(ROUTE, BurnMeter.SHORT_MILLIS, BurnMeter.SHORT_MILLIS),
				new BurnMeter.Counts(1, 0));
		Assert.assertEquals(meter.counts(ROUTE, BurnMeter.LONG_MILLIS, BurnMeter.SHORT_MILLIS),
				new BurnMeter.Counts(1, 1));
		meter.record(ROUTE, true, BurnMeter.LONG_MILLIS);
		Assert.assertEquals(meter.counts(ROUTE, BurnMeter.LONG_MILLIS, BurnMeter.LONG_MILLIS),
				new BurnMeter.Counts(2, 0));
	}

	@Test
	public void burnRateIsBadShareOverPermittedShare() {
		Assert.assertEquals(new BurnMeter.Counts(998, 2).burnRate(999), 2, 1e-9);
		Assert.assertEquals(new BurnMeter.Counts(0, 0).burnRate(999), 0, 0);
	}

}
