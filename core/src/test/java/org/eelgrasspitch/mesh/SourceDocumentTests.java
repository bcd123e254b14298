package org.eelgrasspitch.mesh;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Deltas that arrive in any order from the source and from peers: a node holds the
 * source's content at its revision, and its revision never decreases.
 */
public class SourceDocumentTests {

	private static final int ROUNDS = 400;

	@Test
	public void anOlderDeltaIsIgnored() {
		SourceDocument document = new SourceDocument();
		document.apply(new SourceDelta(0, 52, List.of(item("a", 50)), List.of()));
		Assert.assertNull(document.apply(new SourceDelta(40, 45, List.of(item("b", 45)), List.of("a"))));
		Assert.assertEquals(document.items().size(), 1);
		Assert.assertEquals(document.revision(), 52);
	}

	@Test
	public void theLastChangeRevisionIsThatOfAnItem() {
		SourceDocument document = new SourceDocument();
		document.apply(new SourceDelta(0, 52, List.of(item("a", 50)), List.of()));
		document.apply(new SourceDelta(52, 60, List.of(), List.of()));
		Assert.assertEquals(document.lastChangeRevision(), 50);
		document.apply(new SourceDelta(60, 61, List.of(), List.of("a")));
		Assert.assertEquals(document.lastChangeRevision(), 61);
	}

	@Test
	public void aDeltaWithAGapIsRejected() {
		SourceDocument document = new SourceDocument();
		document.apply(new SourceDelta(0, 10, List.of(), List.of()));
		Assert.assertNull(document.apply(new SourceDelta(12, 20, List.of(item("a", 15)), List.of())));
		Assert.assertEquals(document.revision(), 10);
	}

	@Test
	public void aCompleteDocumentReportsRemovedKeys() {
		SourceDocument document = new SourceDocument();
		document.apply(new SourceDelta(0, 10, List.of(item("a", 5), item("b", 6)), List.of()));
		Assert.assertEquals(document.apply(new SourceDelta(0, 20, List.of(item("b", 6)), List.of())), List.of("a"));
	}

	@Test
	public void peerOfANodeThatListedAgainDropsWhatWasRemovedMeanwhile() {
		SourceDocument listing = new SourceDocument();
		listing.apply(new SourceDelta(0, 10, List.of(item("a", 5)), List.of()));
		SourceDocument peer = new SourceDocument();
		peer.apply(listing.deltaSince(0));
		peer.apply(new SourceDelta(10, 15, List.of(item("b", 15)), List.of()));
		// "b" is removed at revision 17; the first node has never known it.
		listing.apply(new SourceDelta(0, 20, List.of(item("a", 5)), List.of()));
		Assert.assertEquals(peer.apply(listing.deltaSince(peer.revision())), List.of("b"));
		Assert.assertEquals(content(peer), content(listing));
	}

	@Test
	public void nodesThatExchangeDeltasConvergeToTheSource() {
		for (int seed = 0; seed < ROUNDS; seed++) {
			SplittableRandom random = new SplittableRandom(seed);
			SourceDocument source = new SourceDocument();
			source.apply(new SourceDelta(0, 1, List.of(), List.of()));
			List<SourceDocument> nodes = List.of(new SourceDocument(), new SourceDocument(), new SourceDocument());
			for (long revision = 2; revision < 60; revision++) {
				change(source, revision, random);
				SourceDocument receiver = nodes.get(random.nextInt(nodes.size()));
				SourceDocument sender = (random.nextInt(3) == 0) ? source : nodes.get(random.nextInt(nodes.size()));
				long before = receiver.revision();
				receiver.apply(sender.deltaSince(receiver.revision()));
				Assert.assertTrue(receiver.revision() >= before, "seed " + seed);
			}
			for (SourceDocument node : nodes) {
				node.apply(source.deltaSince(node.revision()));
				Assert.assertEquals(content(node), content(source), "seed " + seed);
			}
		}
	}

	private static void change(SourceDocument source, long revision, SplittableRandom random) {
		String key = "k" + random.nextInt(6);
		boolean removes = random.nextInt(3) == 0;
		source.apply(new SourceDelta(revision - 1, revision, removes ? List.of() : List.of(item(key, revision)),
				removes ? List.of(key) : List.of()));
	}

	private static TreeMap<String, Long> content(SourceDocument document) {
		TreeMap<String, Long> content = new TreeMap<>();
		document.items().forEach((item) -> content.put(item.key(), item.revision()));
		return content;
	}

	private static SourceItem item(String key, long revision) {
		return new SourceItem(key, key.getBytes(StandardCharsets.UTF_8), revision);
	}

}
