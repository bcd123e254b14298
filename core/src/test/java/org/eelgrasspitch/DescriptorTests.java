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
import org.eelgrasspitch.text.TextTool;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs every descriptor under {@code descriptors/}: a file whose input stands between the
 * lines {@code [input]} and {@code [output]} and whose expected output follows. The
 * folder names what the input is.
 */
public class DescriptorTests {

	private static final String INPUT = "[input]\n";

	private static final String OUTPUT = "[output]\n";

	@DataProvider
	public Iterator<Object[]> descriptors() throws IOException, URISyntaxException {
		Path root = Path.of(DescriptorTests.class.getResource("/descriptors").toURI());
		List<Object[]> rows = new ArrayList<>();
		try (Stream<Path> files = Files.walk(root)) {
			for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
				rows.add(new Object[] { root.relativize(file).toString(), Files.readString(file) });
			}
		}
		return rows.iterator();
	}

	@Test(dataProvider = "descriptors")
	public void matches(String name, String descriptor) {
		int input = descriptor.indexOf(INPUT);
		int output = descriptor.indexOf(OUTPUT);
		Assert.assertTrue(input >= 0 && output > input, name + " is no descriptor");
		String given = descriptor.substring(input + INPUT.length(), output);
		String expected = descriptor.substring(output + OUTPUT.length());
		Assert.assertEquals(run(name.substring(0, name.indexOf('/')), given).strip(), expected.strip(), name);
	}

	private static String run(String kind, String input) {
		byte[] content = input.strip().getBytes(StandardCharsets.UTF_8);
		return switch (kind) {
			case "text" -> TextTool.text(1, content)
				.fold(DescriptorTests::lines,
						(checked) -> checked.value()
							.routes()
							.keySet()
							.stream()
							.map(Object::toString)
							.sorted()
							.collect(Collectors.joining("\n")));
			case "vms" -> TextTool.vms(1, content)
				.fold(DescriptorTests::lines, (checked) -> checked.value().vms().size() + " VMs");
			case "life" -> FleetScript.run(input);
			case "records" -> RecordTableScript.run(input);
			default -> throw new IllegalArgumentException("no kind " + kind);
		};
	}

	private static String lines(List<Problem> problems) {
		return problems.stream().map(Problem::toString).collect(Collectors.joining("\n"));
	}

}
