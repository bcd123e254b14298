package org.eelgrasspitch.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.CallOutcome;
import org.eelgrasspitch.request.Guards;
import org.eelgrasspitch.text.RouteKey;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A target that sends bytes without end in the place of a response.
 */
public class TargetClientTests {

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

	private static final int BLOCK_BYTES = 4_096;

	/**
	 * What the node reads at most, 1 MiB, and what the buffers of the system hold: 4 MiB
	 * to send and 32 MiB to receive, the usual maximum.
	 */
	private static final long MAX_WRITTEN_BYTES = 39_000_000;

	private static final int TIMEOUT_MILLIS = 1_500;

	private static final int MAX_MILLIS = 3_000;

	private final AtomicLong written = new AtomicLong();

	private final AtomicInteger open = new AtomicInteger();

	private volatile String start;

	private volatile String repeated;

	private ServerSocket target;

	private TargetClient client;

	@BeforeMethod
	public void open() throws IOException {
		this.written.set(0);
		this.target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::serve);
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
		this.client = new TargetClient(new NodeSettings("vm-1", "a", "desk", any, any, any, any,
				(InetSocketAddress) this.target.getLocalSocketAddress(), "http://127.0.0.1:1", List.of(),
				Distribution.values()[0], 1, 1, 1_000, 1_000, 1_000, Guards.ALL));
	}

	@AfterMethod(alwaysRun = true)
	public void close() throws IOException {
		this.client.close();
		this.target.close();
	}

	@DataProvider
	public Object[][] responses() {
		return new Object[][] { { "", "no answer " }, { OK + "X-Filler: ", "y" },
				{ "", "HTTP/1.1 100 Continue\r\n\r\n" }, { OK + "\r\n", "more " },
				{ OK + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n" }, { OK, "X-Filler: y\r\n" },
				{ "HTTP/1.1 100 Continue\r\nX-Filler: ", "y" }, { "HTTP/1.1 100 Continue\r\n", "X-Filler: y\r\n" },
				{ CHUNKED + "2\r\nok\r\n0\r\nX-Filler: ", "y" }, { CHUNKED + "2\r\nok\r\n0\r\n", "X-Filler: y\r\n" },
				{ CHUNKED + "4;x=", "y" }, { CHUNKED, "1;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\nm\r\n" }, { CHUNKED, "0" },
				{ "HTTP/1.1 200 O", "K" }, { "HTTP/1.1 503 Busy\r\n", "X-Filler: y\r\n" },
				{ "HTTP/1.1 503 Busy\r\nRequest-Ran: no\r\n\r\n", "busy " } };
	}

	@Test(dataProvider = "responses")
	public void bytesWithoutEndAreBounded(String first, String then) throws Exception {
		this.start = first;
		this.repeated = then;
		CompletableFuture<CallOutcome> outcome = new CompletableFuture<>();
		CallMessage.Request request = new CallMessage.Request(1, "q1", new RouteKey("desk", "read"), TIMEOUT_MILLIS,
				Optional.empty(), Optional.empty(), List.of(), new byte[0], 1);
		this.client.send(request, TIMEOUT_MILLIS, (statement) -> {
		}, outcome::complete);
		CallOutcome ended = outcome.get(MAX_MILLIS, TimeUnit.MILLISECONDS);
		boolean refusal = first.contains("Request-Ran");
		Assert.assertEquals(ended instanceof CallOutcome.NotRun, refusal, ended.toString());
		awaitClosed();
	}

	@DataProvider
	public Object[][] healthResponses() {
		return new Object[][] { { OK + "\r\n", "more " }, { OK + "X-Filler: ", "y" }, { OK, "X-Filler: y\r\n" },
				{ CHUNKED + "4;x=", "y" }, { "", "HTTP/1.1 100 Continue\r\n\r\n" }, { "", "no answer " } };
	}

	@Test(dataProvider = "healthResponses")
	public void healthWithoutEndIsBounded(String first, String then) throws Exception {
		this.start = first;
		this.repeated = then;
		CompletableFuture<Boolean> draining = new CompletableFuture<>();
		this.client.probe(draining::complete);
		Assert.assertFalse(draining.completeOnTimeout(false, MAX_MILLIS, TimeUnit.MILLISECONDS).get());
		awaitClosed();
	}

	private void awaitClosed() throws InterruptedException {
		for (int waited = 0; this.open.get() > 0; waited++) {
			Assert.assertTrue(waited < MAX_MILLIS, "the connection is still open");
			TimeUnit.MILLISECONDS.sleep(1);
		}
		Assert.assertTrue(this.written.get() <= MAX_WRITTEN_BYTES, "bytes: " + this.written.get());
	}

	private void serve() {
		while (!this.target.isClosed()) {
			try (Socket accepted = this.target.accept()) {
				this.open.incrementAndGet();
				writeEndlessly(accepted);
			}
			catch (IOException ex) {
				// The client closed the connection, or the test the target.
				this.open.set(0);
			}
		}
	}

	private void writeEndlessly(Socket accepted) throws IOException {
		InputStream input = accepted.getInputStream();
		input.read();
		accepted.getOutputStream().write(this.start.getBytes(StandardCharsets.US_ASCII));
		byte[] block = this.repeated.repeat(BLOCK_BYTES / this.repeated.length()).getBytes(StandardCharsets.US_ASCII);
		while (true) {
			accepted.getOutputStream().write(block);
			this.written.addAndGet(block.length);
		}
	}

}
