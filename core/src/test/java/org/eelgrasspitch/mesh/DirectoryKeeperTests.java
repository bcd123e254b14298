package org.eelgrasspitch.mesh;

import java.net.InetSocketAddress;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Entries of targets: leaving, lapsing, restarting, and arriving out of order.
 */
public class DirectoryKeeperTests {

	private static final int PORT = 8080;

	private final DirectoryKeeper keeper = new DirectoryKeeper();

	@Test
	public void aTargetThatAnnouncedItsLeavingIsNotReadyAgain() {
		DirectoryKeeper own = new DirectoryKeeper();
		own.put(entry("t", 5, 100, true));
		Assert.assertFalse(own.put(entry("t", 4, 100, false)));
		Assert.assertTrue(own.directory().find("t").orElseThrow().draining());
	}

	@Test
	public void aRestartUnderTheSameIdentifierCountsAnew() {
		DirectoryKeeper own = new DirectoryKeeper();
		own.put(entry("t", 50, 100, true));
		Assert.assertTrue(own.put(entry("t", 1, 200, false)));
		Assert.assertFalse(own.put(entry("t", 51, 100, true)));
		Assert.assertFalse(own.directory().find("t").orElseThrow().draining());
	}

	@Test
	public void aRemovedTargetIsGoneAtOnceWhileTheSourceAnswers() {
		DirectoryKeeper own = new DirectoryKeeper();
		own.put(entry("t", 1, 1, false));
		Assert.assertTrue(own.remove("t", 1_000).isPresent());
		Assert.assertEquals(own.directory().all().size(), 0);
	}

	@Test
	public void aLateEntryOfARemovedTargetDoesNotBringItBack() {
		DirectoryKeeper own = new DirectoryKeeper();
		own.put(entry("t", 7, 1, false));
		own.remove("t", 1_000);
		own.put(entry("t", 6, 1, false));
		Assert.assertEquals(own.directory().all().size(), 0);
	}

	@Test
	public void targetsThatHaveGoneDoNotAddUpForEver() {
		DirectoryKeeper own = new DirectoryKeeper();
		own.put(entry("stays", 9, 1, true));
		for (int i = 0; i < 20_000; i++) {
			own.put(entry("t" + i, 1, 1, false));
			own.remove("t" + i, 1_000);
		}
		Assert.assertTrue(own.remembered() < 5_000, "remembered: " + own.remembered());
		Assert.assertFalse(own.put(entry("stays", 8, 1, false)), "a target that is there is never forgotten");
	}

	@Test
	public void lapsedEntriesAreKeptUntilTheyHadTimeToComeBack() {
		this.keeper.put(entry("t1", 1, 1, false));
		this.keeper.put(entry("t2", 1, 1, false));
		this.keeper.put(entry("t3", 1, 1, true));
		this.keeper.sourceReturned(10_000);
		Assert.assertTrue(this.keeper.remove("t1", 10_000).isEmpty());
		Assert.assertTrue(this.keeper.remove("t2", 10_000).isEmpty());
		Assert.assertTrue(this.keeper.remove("t3", 10_000).isPresent(), "it had announced its leaving");
		this.keeper.put(entry("t1", 2, 1, false));
		Assert.assertEquals(this.keeper.expire(11_999), List.of());
		Assert.assertEquals(this.keeper.expire(12_000).stream().map(TargetEntry::id).toList(), List.of("t2"));
		Assert.assertTrue(this.keeper.directory().find("t1").isPresent());
	}

	@Test
	public void whatPeersSayIsGoneWhileTheSourceIsAwayIsKeptForAWhile() {
		DirectoryKeeper own = new DirectoryKeeper();
		own.put(entry("t", 1, 1, false));
		own.sourceLost();
		Assert.assertTrue(own.remove("t", 5_000).isEmpty());
		Assert.assertEquals(own.directory().all().size(), 1);
		Assert.assertEquals(own.expire(6_500).size(), 1);
	}

	@Test
	public void theTargetThatStartedLastOwnsAnAddress() {
		DirectoryKeeper own = new DirectoryKeeper();
		own.put(entry("old", 9, 100, true));
		own.put(entry("new", 1, 200, false));
		Assert.assertEquals(own.directory().at("s", new InetSocketAddress("10.0.0.1", PORT)).orElseThrow().id(), "new");
	}

	private static TargetEntry entry(String id, long sequence, long born, boolean draining) {
		return new TargetEntry(id, "s", new InetSocketAddress("10.0.0.1", PORT), "fd", 4, draining, 0, sequence, born);
	}

}
