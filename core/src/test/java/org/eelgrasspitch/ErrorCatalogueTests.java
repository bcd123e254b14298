package org.eelgrasspitch;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import org.eelgrasspitch.misc.ErrorType;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Checks that the error table of the reference page lists the same codes, severities and
 * message templates as {@link ErrorType}, in the same order, and that no code occurs
 * twice.
 */
public class ErrorCatalogueTests {

	private static final Path REFERENCE_PAGE = Path.of("..", "docs", "REFERENCE.md");

	@Test
	public void referencePageMatchesErrorTypes() throws IOException {
		List<String> documented = Files.readAllLines(REFERENCE_PAGE)
			.stream()
			.filter((line) -> line.matches("\\| \\d{3} \\| (error|warning) \\|.*"))
			.toList();
		List<String> expected = Arrays.stream(ErrorType.values())
			.map((type) -> "| " + type.code() + " | " + type.severity().name().toLowerCase(Locale.ROOT) + " | "
					+ type.template() + " |")
			.toList();
		Assert.assertEquals(documented, expected);
	}

	@Test
	public void codesAreUnique() {
		long distinct = Arrays.stream(ErrorType.values()).mapToInt(ErrorType::code).distinct().count();
		Assert.assertEquals(distinct, ErrorType.values().length);
	}

}
