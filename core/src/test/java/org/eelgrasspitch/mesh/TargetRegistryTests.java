package org.eelgrasspitch.mesh;

import java.net.InetSocketAddress;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Target entries that drain, expire, restart or arrive out of order; a registry that
 * handles them wrongly loses running targets or keeps stopped ones.
 */
public class TargetRegistryTests {

	private static final int PORT = 8080;

	private final TargetRegistry registry = new TargetRegistry();

	/** Last revision of the source. */
	private long revision;

	@Test
	public void anOlderEntryDoesNotRevertDraining() {
		TargetRegistry registry = new TargetRegistry();
		put(registry, entry("t", 5, 100, true));
		Assert.assertFalse(put(registry, entry("t", 4, 100, false)));
		Assert.assertTrue(registry.directory().find("t").orElseThrow().draining());
	}

	@Test
	public void aRestartUnderTheSameIdentifierResetsTheSequence() {
		TargetRegistry registry = new TargetRegistry();
		put(registry, entry("t", 50, 100, true));
		Assert.assertTrue(put(registry, entry("t", 1, 200, false)));
		Assert.assertFalse(put(registry, entry("t", 51, 100, true)));
		Assert.assertFalse(registry.directory().find("t").orElseThrow().draining());
	}

	@Test
	public void aRemovedTargetIsDroppedAtOnceWhileTheSourceIsAvailable() {
		TargetRegistry registry = new TargetRegistry();
		put(registry, entry("t", 1, 1, false));
		Assert.assertTrue(registry.remove("t", nextPosition(), 1_000).isPresent());
		Assert.assertEquals(registry.directory().all().size(), 0);
	}

	@Test
	public void aLateEntryOfARemovedTargetDoesNotBringItBack() {
		TargetRegistry registry = new TargetRegistry();
		put(registry, entry("t", 7, 1, false));
		registry.remove("t", nextPosition(), 1_000);
		put(registry, entry("t", 6, 1, false));
		Assert.assertEquals(registry.directory().all().size(), 0);
	}

	@Test
	public void theNumberOfRememberedRemovedTargetsIsBounded() {
		TargetRegistry registry = new TargetRegistry();
		put(registry, entry("stays", 9, 1, true));
		for (int i = 0; i < 20_000; i++) {
			put(registry, entry("t" + i, 1, 1, false));
			registry.remove("t" + i, nextPosition(), 1_000);
		}
		Assert.assertTrue(registry.rememberedTargets() < 5_000, "remembered: " + registry.rememberedTargets());
		Assert.assertFalse(put(registry, entry("stays", 8, 1, false)), "entries of current targets are not evicted");
	}

	@Test
	public void missingEntriesAreKeptForTheRepublishGracePeriod() {
		put(this.registry, entry("t1", 1, 1, false));
		put(this.registry, entry("t2", 1, 1, false));
		put(this.registry, entry("t3", 1, 1, true));
		this.registry.sourceReturned(10_000);
		Assert.assertTrue(this.registry.remove("t1", nextPosition(), 10_000).isEmpty());
		Assert.assertTrue(this.registry.remove("t2", nextPosition(), 10_000).isEmpty());
		Assert.assertTrue(this.registry.remove("t3", nextPosition(), 10_000).isPresent(),
				"draining targets are dropped at once");
		put(this.registry, entry("t1", 2, 1, false));
		Assert.assertEquals(this.registry.expire(11_999), List.of());
		Assert.assertEquals(this.registry.expire(12_000).stream().map(TargetEntry::id).toList(), List.of("t2"));
		Assert.assertTrue(this.registry.directory().find("t1").isPresent());
	}

	@Test
	public void removalsByPeersAreDelayedWhileTheSourceIsUnavailable() {
		TargetRegistry registry = new TargetRegistry();
		put(registry, entry("t", 1, 1, false));
		registry.sourceLost();
		Assert.assertTrue(registry.remove("t", nextPosition(), 5_000).isEmpty());
		Assert.assertEquals(registry.directory().all().size(), 1);
		Assert.assertEquals(registry.expire(6_500).size(), 1);
	}

	@Test
	public void anAddressResolvesToTheTargetThatStartedLast() {
		TargetRegistry registry = new TargetRegistry();
		put(registry, entry("old", 9, 100, true));
		put(registry, entry("new", 1, 200, false));
		Assert.assertEquals(
				registry.directory().findByAddress("s", new InetSocketAddress("10.0.0.1", PORT)).orElseThrow().id(),
				"new");
	}

	// A clock that was set back hid the target until its time had caught up.
	@Test
	public void aRestartAfterTheClockWasSetBackIsSeen() {
		TargetRegistry registry = new TargetRegistry();
		put(registry, entry("t", 50, 200, false));
		Assert.assertTrue(put(registry, entry("t", 1, 100, false)));
		Assert.assertEquals(registry.directory().find("t").orElseThrow().startUnixMillis(), 100);
	}

	@Test
	public void aRestartAfterTheClockWasSetBackIsSeenOnceTheDrainingEntryIsRemoved() {
		TargetRegistry registry = new TargetRegistry();
		put(registry, entry("t", 50, 200, true));
		Assert.assertFalse(put(registry, entry("t", 1, 100, false)), "the draining target is still published");
		registry.remove("t", nextPosition(), 1_000);
		Assert.assertTrue(put(registry, entry("t", 2, 100, false)));
	}

	// A store that returned from a copy listed targets again that had left.
	@Test
	public void aTargetThatLeftIsHeldBackWhenARestoredSourceHasItsEntryAgain() {
		TargetRegistry registry = new TargetRegistry();
		put(registry, entry("t", 7, 1, false));
		registry.remove("t", nextPosition(), 1_000);
		registry.sourceRestored(5_000);
		Assert.assertFalse(registry.put(entry("t", 7, 1, false), new SourcePosition(2, 1)));
		registry.remove("t", new SourcePosition(2, 2), 9_500);
		Assert.assertEquals(registry.addHeldBack(11_001), List.of());
		Assert.assertEquals(registry.directory().all().size(), 0);
	}

	@Test
	public void aTargetWhoseEntryStaysInTheRestoredSourceIsAddedAgain() {
		TargetRegistry registry = new TargetRegistry();
		put(registry, entry("t", 7, 1, false));
		registry.remove("t", nextPosition(), 1_000);
		registry.sourceRestored(5_000);
		registry.put(entry("t", 7, 1, false), new SourcePosition(2, 1));
		Assert.assertEquals(registry.addHeldBack(10_999), List.of());
		Assert.assertEquals(registry.addHeldBack(11_000).size(), 1);
		Assert.assertTrue(registry.directory().find("t").isPresent());
	}

	@Test
	public void aTargetThatWritesToTheRestoredSourceIsUsedAtOnce() {
		TargetRegistry registry = new TargetRegistry();
		put(registry, entry("t", 7, 1, false));
		registry.remove("t", nextPosition(), 1_000);
		registry.sourceRestored(5_000);
		Assert.assertTrue(registry.put(entry("t", 8, 1, false), new SourcePosition(2, 1)));
	}

	@Test
	public void entriesWrittenSinceTheCopyAreKeptUntilTheirTargetsCanPublishThemAgain() {
		TargetRegistry registry = new TargetRegistry();
		put(registry, entry("t1", 7, 1, false));
		put(registry, entry("t2", 7, 1, false));
		registry.sourceRestored(5_000);
		registry.remove("t1", new SourcePosition(2, 1), 5_000);
		registry.remove("t2", new SourcePosition(2, 1), 5_000);
		Assert.assertTrue(registry.directory().find("t1").isPresent());
		registry.put(entry("t1", 7, 1, false), new SourcePosition(2, 2));
		Assert.assertEquals(registry.expire(7_000).stream().map(TargetEntry::id).toList(), List.of("t2"));
		Assert.assertTrue(registry.directory().find("t1").isPresent());
	}

	@Test
	public void aRestoredEntryDoesNotRevertDraining() {
		TargetRegistry registry = new TargetRegistry();
		put(registry, entry("t", 7, 1, true));
		registry.sourceRestored(5_000);
		Assert.assertFalse(registry.put(entry("t", 6, 1, false), new SourcePosition(2, 1)));
		Assert.assertTrue(registry.directory().find("t").orElseThrow().draining());
	}

	private boolean put(TargetRegistry registry, TargetEntry entry) {
		return registry.put(entry, nextPosition());
	}

	private SourcePosition nextPosition() {
		return new SourcePosition(1, ++this.revision);
	}

	private static TargetEntry entry(String id, long sequence, long startUnixMillis, boolean draining) {
		return new TargetEntry(id, "s", new InetSocketAddress("10.0.0.1", PORT), "fd", 4, draining, 0, sequence,
				startUnixMillis);
	}

}
