package org.eelgrasspitch.scenarios;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.eelgrasspitch.testkit.mesh.RawCaller;
import org.testng.Assert;

/**
 * Steps with servers whose responses never end.
 */
public class EndlessResponseSteps {

	private static final long TIMEOUT_MILLIS = 3_000;

	private boolean whole;

	private long tookMillis;

	@When("a requester at {word} reads the answer to {word} {word} to its end")
	public void readToTheEnd(String vm, String method, String path) throws IOException {
		long startedAt = System.nanoTime();
		try (RawCaller caller = PlatformWorlds.current().caller(vm)) {
			caller.request(method, PlatformSteps.HOST, path, "endless-" + startedAt, TIMEOUT_MILLIS, "");
			this.whole = caller.isWholeWhenSkipped();
		}
		this.tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
	}

	@Then("it broke off after at most {int} ms")
	public void brokeOff(int millis) {
		Assert.assertFalse(this.whole, "the answer looks complete");
		Assert.assertTrue(this.tookMillis <= millis, "took " + this.tookMillis + " ms");
	}

	@Then("the server at {word} got rid of at most {long} bytes")
	public void bounded(String vm, long most) {
		long written = PlatformWorlds.current().server(vm).endlessBytes();
		Assert.assertTrue(written <= most, "bytes: " + written);
	}

}
