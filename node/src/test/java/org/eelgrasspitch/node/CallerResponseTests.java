package org.eelgrasspitch.node;

import java.util.concurrent.TimeUnit;

import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A response of the target that its caller gets otherwise than the target sent it.
 */
public class CallerResponseTests {

	private static final int TIMEOUT_MILLIS = 10_000;

	private StoppingNode node;

	@BeforeMethod
	public void start() throws Exception {
		this.node = new StoppingNode(0, false);
	}

	@AfterMethod(alwaysRun = true)
	public void close() {
		this.node.close();
	}

	// The HTTP library applies the header to an input stream.
	@Test
	public void rangeThatTheCallerNamesCutsTheResponse() throws Exception {
		String response = this.node.request("GET", StoppingNode.READ, "q1", "Range: bytes=1-2")
			.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
		Assert.assertTrue(response.endsWith("\r\n\r\nanswer"), response);
	}

}
