package org.eelgrasspitch;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

import org.eelgrasspitch.text.Document;
import org.eelgrasspitch.text.DocumentParser;
import org.eelgrasspitch.text.ParsedDocument;
import org.eelgrasspitch.text.Part;
import org.eelgrasspitch.text.PartDelta;
import org.eelgrasspitch.text.Route;
import org.eelgrasspitch.text.Snapshot;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Parses randomly mutated texts with a fixed seed. Each text must either be rejected with
 * problems or yield a snapshot without dangling references, parts that join to the same
 * text, and deltas that reproduce the parts.
 */
public class TextMutationTests {

	private static final long SEED = 20_261_203;

	private static final int MUTATIONS = 20_000;

	private static final String TEXT = """
			{"mesh": "m", "failureDomains": ["a", "b"], "services": [
			 {"name": "s", "dependsOn": ["t", "u"], "slots": 1, "connections": 9, "operations": [
			  {"name": "r", "kind": "idempotent", "deadlineMillis": 99},
			  {"name": "p", "kind": "at-most-once", "deadlineMillis": 99, "lateAfterMillis": 9}]},
			 {"name": "t", "dependsOn": ["u"], "slots": 1, "connections": 9, "operations": [
			  {"name": "r", "kind": "idempotent", "deadlineMillis": 99}]},
			 {"name": "u", "slots": 1, "connections": 9, "operations": [
			  {"name": "r", "kind": "idempotent", "deadlineMillis": 99}]}]}""";

	@Test
	public void mutatedTextsAreRejectedOrComplete() {
		SplittableRandom random = new SplittableRandom(SEED);
		int accepted = 0;
		for (int index = 0; index < MUTATIONS; index++) {
			byte[] content = TEXT.getBytes(StandardCharsets.UTF_8);
			for (int change = random.nextInt(3); change >= 0; change--) {
				content[random.nextInt(content.length)] = (byte) ("stura01 ,{}[]\"".charAt(random.nextInt(14)));
			}
			accepted += DocumentParser.parseText(1, content).fold((problems) -> {
				Assert.assertFalse(problems.isEmpty());
				return 0;
			}, (parsed) -> {
				assertReferencesResolve(parsed.value());
				assertPartsJoinToSameText(parsed);
				assertDeltasApply(parsed);
				return 1;
			});
		}
		Assert.assertTrue(accepted > 0, "no mutated text was accepted, so no snapshot was verified");
	}

	private static void assertReferencesResolve(Snapshot snapshot) {
		for (Route route : snapshot.routes().values()) {
			Assert.assertSame(snapshot.service(route.service().name()).orElseThrow(), route.service());
			for (String dependency : route.service().dependsOn()) {
				Assert.assertTrue(snapshot.service(dependency).isPresent(), dependency);
			}
		}
	}

	private static void assertDeltasApply(ParsedDocument<Snapshot> parsed) {
		Document original = DocumentParser.parseText(1, TEXT.getBytes(StandardCharsets.UTF_8)).get().document();
		for (Part base : original.parts()) {
			for (Part part : parsed.document().parts()) {
				PartDelta.between(base, part).ifPresent((delta) -> {
					Assert.assertEquals(delta.apply(base).orElseThrow(), part);
					PartDelta outOfRange = new PartDelta("p", part.digest(), base.digest(), base.content().length, 1,
							new byte[0]);
					Assert.assertTrue(outOfRange.apply(base).isEmpty());
				});
			}
		}
	}

	private static void assertPartsJoinToSameText(ParsedDocument<Snapshot> parsed) {
		Document document = parsed.document();
		Document received = Document
			.fromReceivedParts(document.channel(), document.version(), document.parts(), (part) -> false)
			.orElseThrow();
		ParsedDocument<Snapshot> joined = DocumentParser.parseText(received).get();
		Assert.assertEquals(joined.version(), parsed.version());
		Assert.assertEquals(joined.value().text(), parsed.value().text());
	}

}
