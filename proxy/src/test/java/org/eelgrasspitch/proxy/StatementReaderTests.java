package org.eelgrasspitch.proxy;

import java.util.Map;

import org.eelgrasspitch.mesh.TargetStatement;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Header fields with which a target states that it is about to stop.
 */
public class StatementReaderTests {

	private static final StatementReader READER = new StatementReader(new HeaderNames("Id", "Left", "Signature",
			"Expected", "Not-Run", "Caller", "Target", "Limit", "Leaving", "/"));

	@Test
	public void onlyTheValueOneAnnouncesTheEnd() {
		Assert.assertTrue(read(Map.of("Leaving", "1")).leaving());
		Assert.assertTrue(read(Map.of("Leaving", " 1")).leaving());
		Assert.assertFalse(read(Map.of("Leaving", "0")).leaving());
		Assert.assertFalse(read(Map.of()).leaving());
	}

	@Test
	public void limitIsReadFromItsField() {
		Assert.assertEquals(read(Map.of("Limit", "37.3")).limitPerSecond().getAsDouble(), 37.3);
		Assert.assertTrue(read(Map.of("Other", "37.3")).limitPerSecond().isEmpty());
	}

	private static TargetStatement read(Map<String, String> fields) {
		return READER.read(fields::get, true);
	}

}
