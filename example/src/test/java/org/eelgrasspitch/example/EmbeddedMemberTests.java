package org.eelgrasspitch.example;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Runs the example with an example deployment from this repository.
 */
public class EmbeddedMemberTests {

	private static final Path DEPLOYMENT = Path.of("..", "examples", "ulaanbaatar");

	@Test
	public void listsRoutesOfDeployment() throws IOException {
		List<String> routes = EmbeddedMember.routes(DEPLOYMENT.resolve("text.jsonc"), DEPLOYMENT.resolve("vms.jsonc"));
		Assert.assertTrue(routes.contains("renewals/pay at-most-once"), routes.toString());
	}

}
