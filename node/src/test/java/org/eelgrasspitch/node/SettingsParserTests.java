package org.eelgrasspitch.node;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;

import org.eelgrasspitch.misc.Problem;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Checks that valid settings are accepted with their defaults, that all errors are
 * reported at once, and that no mutated input makes the parser throw.
 */
public class SettingsParserTests {

	private static final long SEED = 20_261_203;

	private static final int MUTATIONS = 5_000;

	private static final String VALID = """
			// a comment
			{"vm": "a", "failureDomain": "f", "service": "s", "peerAddress": "127.0.0.1:1",
			 "callerAddress": "127.0.0.1:2", "operatorAddress": "127.0.0.1:3", "targetAddress": "127.0.0.1:4",
			 "platformUrl": "http://127.0.0.1:5", "seeds": ["127.0.0.2:1"]}""";

	private static final String INVALID = """
			{"vm": "A b", "failureDomain": "f", "peerAddress": "here:1", "color": 1,
			 "callerAddress": "127.0.0.1:2", "operatorAddress": "127.0.0.1:3", "targetAddress": 4,
			 "platformUrl": "ftp://x", "seeds": ["127.0.0.300:1"], "drainMillis": -1}""";

	@Test
	public void acceptsGoodSettings() {
		NodeSettings settings = SettingsParser.parse(bytes(VALID)).get();
		Assert.assertEquals(settings.advertisedAddress(), settings.peerAddress());
		Assert.assertEquals(settings.drainMillis(), 30_000);
	}

	@Test
	public void reportsEveryErrorAtOnce() {
		List<Integer> codes = SettingsParser.parse(bytes(INVALID))
			.getLeft()
			.stream()
			.map((problem) -> problem.type().code())
			.sorted()
			.toList();
		Assert.assertEquals(codes, List.of(106, 107, 108, 109, 110, 301, 301, 302));
	}

	@Test
	public void unreadableFileIsAnError() {
		List<Problem> problems = SettingsParser.read(Path.of("no-such-file")).getLeft();
		Assert.assertEquals(problems.get(0).type().code(), 303);
	}

	@Test
	public void mutatedSettingsNeverThrow() {
		SplittableRandom random = new SplittableRandom(SEED);
		for (int index = 0; index < MUTATIONS; index++) {
			byte[] content = bytes(VALID);
			for (int change = random.nextInt(4); change >= 0; change--) {
				content[random.nextInt(content.length)] = (byte) random.nextInt(128);
			}
			Assert.assertNotNull(SettingsParser.parse(content));
		}
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
