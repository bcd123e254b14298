package org.eelgrasspitch.node;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Checks that the reference page lists exactly the settings and the metrics that the code
 * defines.
 */
public class ReferenceTests {

	private static final Path REFERENCE_PAGE = Path.of("..", "docs", "REFERENCE.md");

	private static final Pattern CODE_SPAN = Pattern.compile("`([a-zA-Z_]+)`");

	@Test
	public void pageListsExactlyTheSettings() throws IOException {
		Set<String> keys = Arrays.stream(NodeSettings.class.getRecordComponents())
			.map(RecordComponent::getName)
			.collect(Collectors.toCollection(TreeSet::new));
		Assert.assertEquals(firstColumn("## Settings of a node"), keys);
	}

	@Test
	public void pageListsExactlyTheMetrics() throws IOException {
		NodeMetrics metrics = new NodeMetrics();
		// The gauges are registered but not read, so no home service is needed.
		metrics.registerHomeGauges(null);
		Assert.assertEquals(firstColumn("## Metrics"), new TreeSet<>(metrics.names()));
	}

	private static Set<String> firstColumn(String heading) throws IOException {
		List<String> lines = Files.readAllLines(REFERENCE_PAGE);
		int start = 0;
		while (!lines.get(start).startsWith(heading)) {
			start++;
		}
		Set<String> words = new TreeSet<>();
		for (String line : lines.subList(start + 1, lines.size())) {
			if (line.startsWith("## ")) {
				break;
			}
			if (line.startsWith("| `")) {
				Matcher matcher = CODE_SPAN.matcher(line.substring(0, line.indexOf('|', 1)));
				matcher.results().forEach((found) -> words.add(found.group(1)));
			}
		}
		return words;
	}

}
