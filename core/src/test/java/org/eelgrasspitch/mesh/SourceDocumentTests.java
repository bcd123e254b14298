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
		document.apply(new SourceDelta(1, 0, 52, List.of(item("a", 50)), List.of()));
		Assert.assertNull(document.apply(new SourceDelta(1, 40, 45, List.of(item("b", 45)), List.of("a"))));
		Assert.assertEquals(document.items().size(), 1);
		Assert.assertEquals(document.position(), new SourcePosition(1, 52));
	}

	@Test
	public void theLastChangeRevisionIsThatOfAnItem() {
		SourceDocument document = new SourceDocument();
		document.apply(new SourceDelta(1, 0, 52, List.of(item("a", 50)), List.of()));
		document.apply(new SourceDelta(1, 52, 60, List.of(), List.of()));
		Assert.assertEquals(document.lastChange().revision(), 50);
		document.apply(new SourceDelta(1, 60, 61, List.of(), List.of("a")));
		Assert.assertEquals(document.lastChange().revision(), 61);
	}

	@Test
	public void aDeltaWithAGapIsRejected() {
		SourceDocument document = new SourceDocument();
		document.apply(new SourceDelta(1, 0, 10, List.of(), List.of()));
		Assert.assertNull(document.apply(new SourceDelta(1, 12, 20, List.of(item("a", 15)), List.of())));
		Assert.assertEquals(document.position(), new SourcePosition(1, 10));
	}

	@Test
	public void aCompleteDocumentReportsRemovedKeys() {
		SourceDocument document = new SourceDocument();
		document.apply(new SourceDelta(1, 0, 10, List.of(item("a", 5), item("b", 6)), List.of()));
		Assert.assertEquals(document.apply(new SourceDelta(1, 0, 20, List.of(item("b", 6)), List.of())), List.of("a"));
	}

	@Test
	public void peerOfANodeThatListedAgainDropsWhatWasRemovedMeanwhile() {
		SourceDocument listing = new SourceDocument();
		listing.apply(new SourceDelta(1, 0, 10, List.of(item("a", 5)), List.of()));
		SourceDocument peer = new SourceDocument();
		peer.apply(listing.deltaSince(SourcePosition.NONE));
		peer.apply(new SourceDelta(1, 10, 15, List.of(item("b", 15)), List.of()));
		// "b" is removed at revision 17; the first node has never known it.
		listing.apply(new SourceDelta(1, 0, 20, List.of(item("a", 5)), List.of()));
		Assert.assertEquals(peer.apply(listing.deltaSince(peer.position())), List.of("b"));
		Assert.assertEquals(content(peer), content(listing));
	}

	@Test
	public void nodesThatExchangeDeltasConvergeToTheSource() {
		for (int seed = 0; seed < ROUNDS; seed++) {
			SplittableRandom random = new SplittableRandom(seed);
			SourceDocument source = new SourceDocument();
			source.apply(new SourceDelta(1, 0, 1, List.of(), List.of()));
			List<SourceDocument> nodes = List.of(new SourceDocument(), new SourceDocument(), new SourceDocument());
			for (long revision = 2; revision < 60; revision++) {
				change(source, revision, random);
				SourceDocument receiver = nodes.get(random.nextInt(nodes.size()));
				SourceDocument sender = (random.nextInt(3) == 0) ? source : nodes.get(random.nextInt(nodes.size()));
				SourcePosition before = receiver.position();
				receiver.apply(sender.deltaSince(receiver.position()));
				Assert.assertFalse(before.isAfter(receiver.position()), "seed " + seed);
			}
			for (SourceDocument node : nodes) {
				node.apply(source.deltaSince(node.position()));
				Assert.assertEquals(content(node), content(source), "seed " + seed);
			}
		}
	}

	// review/2: revisions of a former era hid all changes of the restored source.
	@Test
	public void changesOfALaterEraAreAppliedThoughTheirRevisionsAreLower() {
		SourceDocument document = new SourceDocument();
		document.apply(new SourceDelta(1, 0, 119, List.of(item("a", 119), item("b", 60)), List.of()));
		Assert.assertEquals(document.apply(new SourceDelta(2, 0, 107, List.of(item("a", 107)), List.of())),
				List.of("b"));
		Assert.assertNotNull(document.apply(new SourceDelta(2, 107, 108, List.of(item("a", 108)), List.of())));
		Assert.assertEquals(document.position(), new SourcePosition(2, 108));
		Assert.assertEquals(document.lastChange(), new SourcePosition(2, 108));
		Assert.assertEquals(content(document).get("a"), Long.valueOf(108));
	}

	@Test
	public void changesOfALaterEraAreNotAppliedToADocumentOfAnEarlierOne() {
		SourceDocument document = new SourceDocument();
		document.apply(new SourceDelta(1, 0, 119, List.of(item("a", 119)), List.of()));
		Assert.assertNull(document.apply(new SourceDelta(2, 107, 108, List.of(item("b", 108)), List.of())));
		Assert.assertNull(document.apply(new SourceDelta(0, 0, 500, List.of(), List.of())));
		Assert.assertEquals(document.position(), new SourcePosition(1, 119));
	}

	@Test
	public void peerOfAnEarlierEraGetsTheCompleteDocument() {
		SourceDocument restored = new SourceDocument();
		restored.apply(new SourceDelta(2, 0, 107, List.of(item("a", 50)), List.of()));
		restored.apply(new SourceDelta(2, 107, 130, List.of(item("c", 130)), List.of()));
		SourceDocument peer = new SourceDocument();
		peer.apply(new SourceDelta(1, 0, 119, List.of(item("a", 119), item("b", 60)), List.of()));
		Assert.assertTrue(restored.deltaSince(peer.position()).isComplete());
		Assert.assertEquals(peer.apply(restored.deltaSince(peer.position())), List.of("b"));
		Assert.assertEquals(content(peer), content(restored));
	}

	private static void change(SourceDocument source, long revision, SplittableRandom random) {
		String key = "k" + random.nextInt(6);
		boolean removes = random.nextInt(3) == 0;
		source.apply(new SourceDelta(1, revision - 1, revision, removes ? List.of() : List.of(item(key, revision)),
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
