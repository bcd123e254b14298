package org.eelgrasspitch;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * A platform that is restored from an older copy and gives revisions out again.
 */
public class RestoredPlatformTests {

	// review/2 in the node daemon: no text is accepted until the former revision is
	// passed.
	@Test(groups = "known-red")
	public void textPublishedAfterARestorationIsInForce() {
		String effects = FleetScript.run("""
				nogate seeds p
				at 700 serves 5
				at 5700 serves 7
				at 10700 serves 5
				at 15700 serves 6
				at 20700 serves 6
				""");
		Assert.assertTrue(effects.substring(effects.indexOf("at 10700")).contains("text 6"), effects);
	}

}
