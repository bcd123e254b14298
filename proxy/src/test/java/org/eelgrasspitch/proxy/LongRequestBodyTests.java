package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.eelgrasspitch.mesh.TargetStatements;
import org.eelgrasspitch.misc.TimeSource;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A home sends requests whose body exceeds what the connection to its target takes at
 * once. The target must receive the request once and nothing else.
 */
@Test(singleThreaded = true)
public class LongRequestBodyTests {

	private static final HeaderNames NAMES = new HeaderNames("Id", "Left", "Signature", "Expected", "Not-Run",
			"Caller-Service", "Target", "Limit", "Leaving", "/ready");

	private static final long TIMEOUT_SECONDS = 10;

	/** Time for which the target waits for further bytes after the request. */
	private static final int FURTHER_BYTES_MILLIS = 300;

	private static final String HEAD_END = "\r\n\r\n";

	private NioEventLoopGroup group;

	private ServerSocket target;

	private HomeService home;

	private TimeSource time;

	@BeforeMethod
	public void start() throws IOException {
		this.target = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		InetSocketAddress address = (InetSocketAddress) this.target.getLocalSocketAddress();
		ProxySettings settings = new ProxySettings("vm-1", "a", "desk", address, address, address, address, address,
				address, 0, 1_000, 0.2, 10, 10_000, ProxySettings.DEFAULT_DRAIN_MILLIS,
				ProxySettings.DEFAULT_SETTLE_MILLIS, LogDetail.OFF, 1);
		this.group = new NioEventLoopGroup(1);
		this.time = TimeSource.system();
		ProxyContext context = new ProxyContext(settings, NAMES, (EventLoop) this.group.next(), this.time,
				new SplittableRandom(1), new DecisionLog("vm-1", this.time, LogDetail.OFF, 1), new ProxyMetrics());
		this.home = new HomeService(context, new QuarantineKeeper(context));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
		this.target.close();
	}

	@DataProvider
	Object[][] bodies() {
		return new Object[][] { { 1, 1_000 }, { 1, 65_536 }, { 1, 200_000 }, { 40, 16_384 }, { 3, 70_000 } };
	}

	// A write that made the connection unwritable sent the end of the body, and the part
	// again, from within itself.
	@Test(dataProvider = "bodies")
	public void requestArrivesOnceAndWhole(int parts, int partBytes) throws Exception {
		byte[] body = body(parts * partBytes);
		String text = new String(send(body, partBytes, body.length), StandardCharsets.ISO_8859_1);
		int start = text.indexOf(HEAD_END) + HEAD_END.length();
		Assert.assertEquals(text.length() - start, body.length);
		Assert.assertTrue(text.substring(start).equals(new String(body, StandardCharsets.ISO_8859_1)), "body differs");
	}

	@Test(dataProvider = "bodies")
	public void chunkedRequestArrivesOnceAndWhole(int parts, int partBytes) throws Exception {
		byte[] body = body(parts * partBytes);
		String text = new String(send(body, partBytes, CallHead.CHUNKED), StandardCharsets.ISO_8859_1);
		String chunks = text.substring(text.indexOf(HEAD_END) + HEAD_END.length());
		Assert.assertTrue(decoded(chunks).equals(new String(body, StandardCharsets.ISO_8859_1)), "body differs");
	}

	/** Returns the content of a chunked body; fails if anything follows its end. */
	private static String decoded(String chunks) {
		StringBuilder content = new StringBuilder();
		int next = 0;
		while (true) {
			int sizeEnd = chunks.indexOf("\r\n", next);
			Assert.assertTrue(sizeEnd - next <= 8, "no chunk size at " + next);
			int size = Integer.parseInt(chunks.substring(next, sizeEnd), 16);
			int start = sizeEnd + 2;
			content.append(chunks, start, start + size);
			next = start + size + 2;
			if (size == 0) {
				Assert.assertEquals(chunks.length(), next);
				return content.toString();
			}
		}
	}

	private static byte[] body(int bytes) {
		byte[] body = new byte[bytes];
		for (int i = 0; i < bytes; i++) {
			body[i] = (byte) ('k' + i % 13);
		}
		return body;
	}

	private byte[] send(byte[] body, int partBytes, long announcedBytes) throws Exception {
		CompletableFuture<byte[]> request = new CompletableFuture<>();
		Thread.ofVirtual().start(() -> serve(request));
		long deadline = this.time.monotonicMillis() + TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS);
		CallHead head = new CallHead("q", "route", "i-1", "POST", "/q", List.of("Host", "m.example", "Id", "q"),
				deadline, deadline, 1, true, false, false, TargetStatements.NO_LIMIT, announcedBytes);
		this.group.execute(() -> {
			CallHandle handle = this.home.submit(head, "vm-2", new Sink());
			for (int sent = 0; sent < body.length; sent += partBytes) {
				handle.data(Arrays.copyOfRange(body, sent, sent + partBytes), sent + partBytes == body.length);
			}
		});
		return request.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private void serve(CompletableFuture<byte[]> request) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (Socket accepted = this.target.accept()) {
			accepted.setSoTimeout(FURTHER_BYTES_MILLIS);
			InputStream input = accepted.getInputStream();
			byte[] buffer = new byte[8_192];
			for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
				bytes.write(buffer, 0, length);
			}
		}
		catch (SocketTimeoutException ex) {
			// Nothing follows the request.
			request.complete(bytes.toByteArray());
			return;
		}
		catch (IOException ex) {
			request.completeExceptionally(ex);
			return;
		}
		request.completeExceptionally(new IOException("the home ended the connection after " + bytes.size()));
	}

	/** Receives what the home says of the call; the target gives no answer. */
	private static final class Sink implements CallListener {

		@Override
		public void startRequested() {
			// Idempotent calls start without permission.
		}

		@Override
		public void replied(ReplyHead head) {
			throw new IllegalStateException("the target gave no answer");
		}

		@Override
		public void data(byte[] content, boolean last) {
			throw new IllegalStateException("the target gave no answer");
		}

		@Override
		public void credit(int bytes) {
			// The whole body is sent at once.
		}

		@Override
		public void failed(CallFailure failure) {
			// The test ends before the deadline.
		}

	}

}
