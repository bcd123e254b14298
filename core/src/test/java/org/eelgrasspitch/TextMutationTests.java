package org.eelgrasspitch;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

import org.eelgrasspitch.text.Checked;
import org.eelgrasspitch.text.Document;
import org.eelgrasspitch.text.Part;
import org.eelgrasspitch.text.PartDelta;
import org.eelgrasspitch.text.Route;
import org.eelgrasspitch.text.Snapshot;
import org.eelgrasspitch.text.TextTool;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Mutates texts from a fixed seed: each is refused with problems, or its snapshot is
 * complete and its parts join to the same snapshot again.
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
	public void mutatedTextsAreRefusedOrComplete() {
		SplittableRandom random = new SplittableRandom(SEED);
		int accepted = 0;
		for (int index = 0; index < MUTATIONS; index++) {
			byte[] content = TEXT.getBytes(StandardCharsets.UTF_8);
			for (int change = random.nextInt(3); change >= 0; change--) {
				content[random.nextInt(content.length)] = (byte) ("stura01 ,{}[]\"".charAt(random.nextInt(14)));
			}
			accepted += TextTool.text(1, content).fold((problems) -> {
				Assert.assertFalse(problems.isEmpty());
				return 0;
			}, (checked) -> {
				checkComplete(checked.value());
				checkJoins(checked);
				checkDeltas(checked);
				return 1;
			});
		}
		Assert.assertTrue(accepted > 0, "no mutation was accepted, so nothing was checked");
	}

	private static void checkComplete(Snapshot snapshot) {
		for (Route route : snapshot.routes().values()) {
			Assert.assertSame(snapshot.service(route.service().name()).orElseThrow(), route.service());
			for (String dependency : route.service().dependsOn()) {
				Assert.assertTrue(snapshot.service(dependency).isPresent(), dependency);
			}
		}
	}

	private static void checkDeltas(Checked<Snapshot> checked) {
		Document original = TextTool.text(1, TEXT.getBytes(StandardCharsets.UTF_8)).get().document();
		for (Part base : original.parts()) {
			for (Part part : checked.document().parts()) {
				PartDelta.between(base, part).ifPresent((delta) -> {
					Assert.assertEquals(delta.apply(base).orElseThrow(), part);
					PartDelta outside = new PartDelta("p", part.digest(), base.digest(), base.content().length, 1,
							new byte[0]);
					Assert.assertTrue(outside.apply(base).isEmpty());
				});
			}
		}
	}

	private static void checkJoins(Checked<Snapshot> checked) {
		Document document = checked.document();
		Document received = Document.received(document.channel(), document.version(), document.parts(), (part) -> false)
			.orElseThrow();
		Checked<Snapshot> joined = TextTool.text(received).get();
		Assert.assertEquals(joined.version(), checked.version());
		Assert.assertEquals(joined.value().text(), checked.value().text());
	}

}
