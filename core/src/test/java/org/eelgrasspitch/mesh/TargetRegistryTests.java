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

	@Test
	public void anOlderEntryDoesNotRevertDraining() {
		TargetRegistry registry = new TargetRegistry();
		registry.put(entry("t", 5, 100, true));
		Assert.assertFalse(registry.put(entry("t", 4, 100, false)));
		Assert.assertTrue(registry.directory().find("t").orElseThrow().draining());
	}

	@Test
	public void aRestartUnderTheSameIdentifierResetsTheSequence() {
		TargetRegistry registry = new TargetRegistry();
		registry.put(entry("t", 50, 100, true));
		Assert.assertTrue(registry.put(entry("t", 1, 200, false)));
		Assert.assertFalse(registry.put(entry("t", 51, 100, true)));
		Assert.assertFalse(registry.directory().find("t").orElseThrow().draining());
	}

	@Test
	public void aRemovedTargetIsDroppedAtOnceWhileTheSourceIsAvailable() {
		TargetRegistry registry = new TargetRegistry();
		registry.put(entry("t", 1, 1, false));
		Assert.assertTrue(registry.remove("t", 1_000).isPresent());
		Assert.assertEquals(registry.directory().all().size(), 0);
	}

	@Test
	public void aLateEntryOfARemovedTargetDoesNotBringItBack() {
		TargetRegistry registry = new TargetRegistry();
		registry.put(entry("t", 7, 1, false));
		registry.remove("t", 1_000);
		registry.put(entry("t", 6, 1, false));
		Assert.assertEquals(registry.directory().all().size(), 0);
	}

	@Test
	public void theNumberOfRememberedRemovedTargetsIsBounded() {
		TargetRegistry registry = new TargetRegistry();
		registry.put(entry("stays", 9, 1, true));
		for (int i = 0; i < 20_000; i++) {
			registry.put(entry("t" + i, 1, 1, false));
			registry.remove("t" + i, 1_000);
		}
		Assert.assertTrue(registry.rememberedTargets() < 5_000, "remembered: " + registry.rememberedTargets());
		Assert.assertFalse(registry.put(entry("stays", 8, 1, false)), "entries of current targets are not evicted");
	}

	@Test
	public void missingEntriesAreKeptForTheRepublishGracePeriod() {
		this.registry.put(entry("t1", 1, 1, false));
		this.registry.put(entry("t2", 1, 1, false));
		this.registry.put(entry("t3", 1, 1, true));
		this.registry.sourceReturned(10_000);
		Assert.assertTrue(this.registry.remove("t1", 10_000).isEmpty());
		Assert.assertTrue(this.registry.remove("t2", 10_000).isEmpty());
		Assert.assertTrue(this.registry.remove("t3", 10_000).isPresent(), "draining targets are dropped at once");
		this.registry.put(entry("t1", 2, 1, false));
		Assert.assertEquals(this.registry.expire(11_999), List.of());
		Assert.assertEquals(this.registry.expire(12_000).stream().map(TargetEntry::id).toList(), List.of("t2"));
		Assert.assertTrue(this.registry.directory().find("t1").isPresent());
	}

	@Test
	public void removalsByPeersAreDelayedWhileTheSourceIsUnavailable() {
		TargetRegistry registry = new TargetRegistry();
		registry.put(entry("t", 1, 1, false));
		registry.sourceLost();
		Assert.assertTrue(registry.remove("t", 5_000).isEmpty());
		Assert.assertEquals(registry.directory().all().size(), 1);
		Assert.assertEquals(registry.expire(6_500).size(), 1);
	}

	@Test
	public void anAddressResolvesToTheTargetThatStartedLast() {
		TargetRegistry registry = new TargetRegistry();
		registry.put(entry("old", 9, 100, true));
		registry.put(entry("new", 1, 200, false));
		Assert.assertEquals(
				registry.directory().findByAddress("s", new InetSocketAddress("10.0.0.1", PORT)).orElseThrow().id(),
				"new");
	}

	private static TargetEntry entry(String id, long sequence, long startUnixMillis, boolean draining) {
		return new TargetEntry(id, "s", new InetSocketAddress("10.0.0.1", PORT), "fd", 4, draining, 0, sequence,
				startUnixMillis);
	}

}
