package org.eelgrasspitch.scenarios;

import java.io.IOException;
import java.util.Set;

import org.eelgrasspitch.testkit.soak.Soak;
import org.eelgrasspitch.testkit.soak.SoakOptions;
import org.testng.Assert;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * A short soak of the node program of this build, with a fixed seed. Longer ones are run
 * by hand, see PROOF.md.
 */
public class SoakTests {

	private static final long SEED = 20261205;

	private static final int SECONDS = 15;

	private static final int MINIMUM_SUCCESSES = 300;

	private Soak.Result result;

	@BeforeClass(alwaysRun = true)
	void run() throws IOException {
		String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
		this.result = Soak.run(new SoakOptions(SEED, SECONDS, classPath, Set.of()), System.out);
	}

	@Test
	public void requestsAreServed() {
		int successes = this.result.statistics().getOrDefault("successes", 0);
		Assert.assertTrue(successes >= MINIMUM_SUCCESSES, successes + " successes");
	}

	@Test
	public void noCallerGetsAnotherAnswer() {
		assertKept("MIXED");
	}

	@Test
	public void noTargetGetsWhatNobodySent() {
		assertKept("UNASKED");
	}

	@Test
	public void nothingIsSentOnForCallersThatLeft() {
		assertKept("GONE");
	}

	@Test
	public void nothingThatMayRunOnceRunsTwice() {
		assertKept("TWICE");
	}

	@Test
	public void nothingThatWasRefusedRuns() {
		assertKept("REFUSED");
	}

	@Test
	public void onlyConfigurationsInForceAreFollowed() {
		assertKept("CONFIG");
	}

	@Test
	public void answersEndSoonAfterTheTimeout() {
		assertKept("CONFIG (late)");
	}

	private void assertKept(String rule) {
		Assert.assertEquals(this.result.violations().getOrDefault(rule, 0), Integer.valueOf(0), rule);
	}

}
