package org.eelgrasspitch.request;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.eelgrasspitch.misc.Digest;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Which requests are quarantined after targets died while they ran.
 */
public class QuarantineTests {

	private static final Digest CRASHING = digest("crashing");

	private static final Digest BESIDE = digest("beside");

	private Quarantine quarantine;

	@BeforeMethod
	public void create() {
		this.quarantine = new Quarantine(3);
	}

	@Test
	public void requestThatSurvivesElsewhereIsNotQuarantinedByTheCrashesBesideIt() {
		long now = 0;
		for (String target : List.of("a", "b", "c", "d", "e")) {
			now += 1_000;
			this.quarantine.recordDeath(CRASHING, target, now);
			this.quarantine.recordDeath(BESIDE, target, now);
			this.quarantine.recordSurvival(BESIDE, now + 100);
		}
		Assert.assertTrue(this.quarantine.isQuarantined(CRASHING, now + 100));
		Assert.assertFalse(this.quarantine.isQuarantined(BESIDE, now + 100));
		Assert.assertEquals(this.quarantine.suspectCount(now + 100), 1);
	}

	@Test
	public void reportOfADeathThatArrivesAfterALaterSurvivalCountsForNothing() {
		this.quarantine.recordDeath(BESIDE, "a", 1_000);
		Assert.assertTrue(this.quarantine.recordSurvival(BESIDE, 5_000));
		Assert.assertFalse(this.quarantine.recordDeath(BESIDE, "b", 4_000));
		Assert.assertTrue(this.quarantine.recordDeath(BESIDE, "c", 6_000));
		Assert.assertEquals(this.quarantine.deathCount(BESIDE), 1);
	}

	@Test
	public void survivalBeforeADeathDoesNotClearIt() {
		this.quarantine.recordDeath(CRASHING, "a", 2_000);
		Assert.assertFalse(this.quarantine.recordSurvival(CRASHING, 1_000));
		Assert.assertEquals(this.quarantine.deathCount(CRASHING), 1);
	}

	@Test
	public void recordsAreDroppedAfterTheQuarantine() {
		List.of("a", "b", "c").forEach((target) -> this.quarantine.recordDeath(CRASHING, target, 1_000));
		Assert.assertTrue(this.quarantine.isQuarantined(CRASHING, 600_999));
		Assert.assertFalse(this.quarantine.isQuarantined(CRASHING, 601_000));
		Assert.assertEquals(this.quarantine.suspectCount(601_000), 0);
	}

	private static Digest digest(String text) {
		return Digest.of(text.getBytes(StandardCharsets.UTF_8));
	}

}
