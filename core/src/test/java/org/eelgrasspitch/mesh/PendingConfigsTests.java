package org.eelgrasspitch.mesh;

import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Which of several configurations that wait to be decoded comes first.
 */
public class PendingConfigsTests {

	@Test
	public void highestVersionComesFirstWhateverTheOrderOfArrival() {
		PendingConfigs pending = new PendingConfigs();
		pending.add(12, item("r12"));
		pending.add(9, item("r9"));
		Assert.assertEquals(pending.pollNewest().map(SourceItem::key), Optional.of("r12"));
		Assert.assertEquals(pending.pollNewest().map(SourceItem::key), Optional.of("r9"));
		Assert.assertTrue(pending.isEmpty());
		Assert.assertEquals(pending.pollNewest(), Optional.empty());
	}

	@Test
	public void longSeriesKeepsTheNewestVersions() {
		PendingConfigs pending = new PendingConfigs();
		for (int version = 100; version > 0; version--) {
			pending.add(version, item("r" + version));
		}
		for (int kept = 0; kept < PendingConfigs.MAX_PENDING; kept++) {
			Assert.assertEquals(pending.pollNewest().map(SourceItem::key), Optional.of("r" + (100 - kept)));
		}
		Assert.assertTrue(pending.isEmpty());
	}

	private static SourceItem item(String key) {
		return new SourceItem(key, new byte[0], 1);
	}

}
