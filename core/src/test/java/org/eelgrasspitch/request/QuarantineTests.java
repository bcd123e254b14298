package org.eelgrasspitch.request;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.eelgrasspitch.misc.Digest;
import org.eelgrasspitch.request.Quarantine.Event;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Which requests are quarantined after targets died while they ran.
 */
public class QuarantineTests {

	private static final Digest CRASHING = digest("crashing");

	private static final Digest BESIDE = digest("beside");

	private Quarantine<String> quarantine;

	@BeforeMethod
	public void create() {
		this.quarantine = new Quarantine<>(3);
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
	public void nodesThatExchangeWhatTheyKnowAgree() {
		Quarantine<String> other = new Quarantine<>(3);
		List.of("a", "b", "c").forEach((target) -> this.quarantine.recordDeath(CRASHING, target, 1_000));
		List.of("a", "b").forEach((target) -> other.recordDeath(BESIDE, target, 1_000));
		this.quarantine.recordDeath(BESIDE, "a", 1_000);
		this.quarantine.recordSurvival(BESIDE, 1_500);
		List<Event<String>> known = this.quarantine.recentEvents(10, 2_000);
		other.recentEvents(10, 2_000).forEach((event) -> record(this.quarantine, event));
		known.forEach((event) -> record(other, event));
		for (Quarantine<String> each : List.of(this.quarantine, other)) {
			Assert.assertTrue(each.isQuarantined(CRASHING, 2_000));
			Assert.assertEquals(each.deathCount(BESIDE), 0);
		}
	}

	@Test
	public void onlyTheNewestRecordsAreExchanged() {
		this.quarantine.recordDeath(CRASHING, "a", 1_000);
		this.quarantine.recordDeath(BESIDE, "a", 2_000);
		Assert.assertEquals(this.quarantine.recentEvents(1, 3_000), List.of(new Event.Death<>(BESIDE, "a", 2_000)));
	}

	@Test
	public void recordsAreDroppedAfterTheQuarantine() {
		List.of("a", "b", "c").forEach((target) -> this.quarantine.recordDeath(CRASHING, target, 1_000));
		Assert.assertTrue(this.quarantine.isQuarantined(CRASHING, 600_999));
		Assert.assertFalse(this.quarantine.isQuarantined(CRASHING, 601_000));
		Assert.assertEquals(this.quarantine.suspectCount(601_000), 0);
	}

	@Test
	public void deathThatIsReportedLateEndsWhenItWouldHaveEndedBefore() {
		this.quarantine.recordDeath(BESIDE, "a", 1_000);
		List.of("a", "b", "c").forEach((target) -> this.quarantine.recordDeath(CRASHING, target, 500));
		Assert.assertTrue(this.quarantine.isQuarantined(CRASHING, 600_499));
		Assert.assertFalse(this.quarantine.isQuarantined(CRASHING, 600_500));
		Assert.assertEquals(this.quarantine.count(601_000), 0);
	}

	/** A crash storm: far more suspects than are kept, each looked up once. */
	@Test
	public void suspectsAreBoundedAndCounted() {
		for (int i = 0; i < 2 * Quarantine.MAX_FINGERPRINTS; i++) {
			Digest fingerprint = digest("request" + i);
			List.of("a", "b", "c").forEach((target) -> this.quarantine.recordDeath(fingerprint, target, 1_000));
			Assert.assertTrue(this.quarantine.isQuarantined(fingerprint, 1_000));
		}
		Assert.assertEquals(this.quarantine.count(1_000), Quarantine.MAX_FINGERPRINTS);
		Assert.assertEquals(this.quarantine.suspectCount(1_000), Quarantine.MAX_FINGERPRINTS);
	}

	private static void record(Quarantine<String> receiver, Event<String> event) {
		switch (event) {
			case Event.Death<String> death ->
				receiver.recordDeath(death.fingerprint(), death.death(), death.atMillis());
			case Event.Survival<String> survival ->
				receiver.recordSurvival(survival.fingerprint(), survival.atMillis());
		}
	}

	private static Digest digest(String text) {
		return Digest.of(text.getBytes(StandardCharsets.UTF_8));
	}

}
