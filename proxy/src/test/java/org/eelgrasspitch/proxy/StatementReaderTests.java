package org.eelgrasspitch.proxy;

import java.util.OptionalDouble;

import org.eelgrasspitch.mesh.TargetStatement;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Header fields with which a target states what it takes.
 */
public class StatementReaderTests {

	@DataProvider
	public Object[][] malformedLimits() {
		return new Object[][] { { "" }, { "many" }, { "-1" }, { "NaN" }, { "Infinity" }, { "1e999" }, { "5, 7" } };
	}

	@Test(dataProvider = "malformedLimits")
	public void malformedLimitIsIgnoredAndEndsNone(String value) {
		TargetStatement statement = StatementReader.read(value, null, true);
		Assert.assertEquals(statement.limitPerSecond(), OptionalDouble.empty());
		Assert.assertFalse(statement.complete());
	}

	@Test
	public void decimalNumbersAreLimits() {
		Assert.assertEquals(StatementReader.read("37.3", null, true).limitPerSecond(), OptionalDouble.of(37.3));
		Assert.assertEquals(StatementReader.read(" 12 ", null, false).limitPerSecond(), OptionalDouble.of(12));
		Assert.assertEquals(StatementReader.read("0", null, true).limitPerSecond(), OptionalDouble.of(0));
	}

	@Test
	public void onlyServedAnswersShowThatThereIsNoLimit() {
		Assert.assertTrue(StatementReader.read(null, null, true).complete());
		Assert.assertFalse(StatementReader.read(null, null, false).complete());
	}

	@Test
	public void onlyTheValueOneAnnouncesTheEnd() {
		Assert.assertTrue(StatementReader.read(null, "1", true).leaving());
		Assert.assertTrue(StatementReader.read(null, " 1", false).leaving());
		Assert.assertFalse(StatementReader.read(null, "0", true).leaving());
		Assert.assertFalse(StatementReader.read(null, null, true).leaving());
	}

}
