package org.eelgrasspitch.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import com.sun.net.httpserver.HttpServer;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests the commands for operators of the streaming proxy and their exit codes.
 */
public class OperatorCommandsTests {

	private static final String BELIEFS_JSON = """
			{"vm":"a-1","failureDomain":"a","configVersion":7,"configRevision":3,"configAgeMillis":900,
			"targetsRevision":4,"targetsAgeMillis":12,"sourceLost":true,"links":2,"targets":[{"id":"i-1",
			"service":"desk","address":"10.0.0.1:5","failureDomain":"a","state":"up","reason":"its home takes requests",
			"running":1,"waiting":0,"slots":9,"failurePercent":0,"ageMillis":-1}],
			"budgets":[{"service":"desk","repeatsLeft":3}]}""";

	@Test
	public void beliefsAreReadFromANode() throws IOException {
		HttpServer server = startNodeWithDelay(0);
		try {
			String address = "127.0.0.1:" + server.getAddress().getPort();
			Assert.assertEquals(Main.run("beliefs", address), ExitCode.OK);
			Assert.assertEquals(Main.run("beliefs", "--json", address, "127.0.0.1:1"), ExitCode.UNAVAILABLE);
			Assert.assertEquals(Main.run("beliefs", "nowhere"), ExitCode.USAGE);
		}
		finally {
			server.stop(0);
		}
	}

	@Test
	public void beliefsAreReadFromANodeThatAnswersSlowly() throws IOException {
		HttpServer server = startNodeWithDelay(3);
		try {
			Assert.assertEquals(Main.run("beliefs", "127.0.0.1:" + server.getAddress().getPort()), ExitCode.OK);
		}
		finally {
			server.stop(0);
		}
	}

	@Test
	public void settingsAreCheckedAsOnNodeStart() throws IOException {
		Path file = Files.createTempFile("settings", ".json");
		try {
			Files.writeString(file, """
					{"vm": "a-1", "failureDomain": "a", "service": "desk", "entryAddress": "10.0.0.1:1",
					"readinessAddress": "10.0.0.1:2", "linkAddress": "10.0.0.1:3", "metricsAddress": "10.0.0.1:4",
					"targetAddress": "10.0.0.1:5", "sourceAddress": "10.0.0.9:6", "stopSeconds": 6,
					"retryRatio": 0.2, "retryMinimum": 56, "retryWindowSeconds": 10} // all there is""");
			Assert.assertEquals(Main.run("check-settings", file.toString()), ExitCode.OK);
			Files.writeString(file, "{\"vm\": 3}");
			Assert.assertEquals(Main.run("check-settings", file.toString()), ExitCode.FAILED);
		}
		finally {
			Files.delete(file);
		}
		Assert.assertEquals(Main.run("check-settings", "no-such-file"), ExitCode.FAILED);
	}

	private static HttpServer startNodeWithDelay(long delaySeconds) throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
		server.createContext("/beliefs", (exchange) -> {
			LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(delaySeconds));
			byte[] body = BELIEFS_JSON.getBytes(StandardCharsets.UTF_8);
			exchange.sendResponseHeaders(200, body.length);
			exchange.getResponseBody().write(body);
			exchange.close();
		});
		server.start();
		return server;
	}

}
