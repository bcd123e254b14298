package org.eelgrasspitch;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.text.DocumentParser;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs every test descriptor under {@code descriptors/}. A descriptor is a file with the
 * input between the lines {@code [input]} and {@code [output]}, followed by the expected
 * output. The name of its folder selects how the input is processed.
 */
public class DescriptorTests {

	private static final String INPUT_MARKER = "[input]\n";

	private static final String OUTPUT_MARKER = "[output]\n";

	@DataProvider
	public Iterator<Object[]> descriptors() throws IOException, URISyntaxException {
		Path root = Path.of(DescriptorTests.class.getResource("/descriptors").toURI());
		List<Object[]> testCases = new ArrayList<>();
		try (Stream<Path> files = Files.walk(root)) {
			for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
				testCases.add(new Object[] { root.relativize(file).toString(), Files.readString(file) });
			}
		}
		return testCases.iterator();
	}

	@Test(dataProvider = "descriptors")
	public void outputMatchesDescriptor(String name, String descriptor) {
		int inputStart = descriptor.indexOf(INPUT_MARKER);
		int outputStart = descriptor.indexOf(OUTPUT_MARKER);
		Assert.assertTrue(inputStart >= 0 && outputStart > inputStart,
				name + " has no [input] section followed by an [output] section");
		String input = descriptor.substring(inputStart + INPUT_MARKER.length(), outputStart);
		String expected = descriptor.substring(outputStart + OUTPUT_MARKER.length());
		Assert.assertEquals(run(name.substring(0, name.indexOf('/')), input).strip(), expected.strip(), name);
	}

	private static String run(String inputType, String input) {
		byte[] content = input.strip().getBytes(StandardCharsets.UTF_8);
		return switch (inputType) {
			case "text" -> DocumentParser.parseText(1, content)
				.fold(DescriptorTests::joinLines,
						(parsed) -> parsed.value()
							.routes()
							.keySet()
							.stream()
							.map(Object::toString)
							.sorted()
							.collect(Collectors.joining("\n")));
			case "vms" -> DocumentParser.parseVmList(1, content)
				.fold(DescriptorTests::joinLines, (parsed) -> parsed.value().vms().size() + " VMs");
			case "life" -> FleetScript.run(input);
			case "records" -> RecordTableScript.run(input);
			default -> throw new IllegalArgumentException("unknown descriptor folder: " + inputType);
		};
	}

	private static String joinLines(List<Problem> problems) {
		return problems.stream().map(Problem::toString).collect(Collectors.joining("\n"));
	}

}
