package org.eelgrasspitch.proxy;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Either;
import org.eelgrasspitch.mesh.MeshConfig;
import org.eelgrasspitch.mesh.SourceItem;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.mesh.TargetLoad;
import org.eelgrasspitch.mesh.TargetStatements;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.misc.TimeSource;
import org.eelgrasspitch.proxy.generated.LinkBeat;
import org.eelgrasspitch.proxy.generated.LinkCall;
import org.eelgrasspitch.proxy.generated.LinkHello;
import org.eelgrasspitch.proxy.generated.LinkMessage;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A home that stops while the link to an entry node is congested.
 */
@Test(singleThreaded = true)
public class CongestedLinkTests {

	private static final HeaderNames NAMES = new HeaderNames("Id", "Left", "Signature", "Expected", "Not-Run",
			"Caller-Service", "Target", "Limit", "Leaving", "/ready");

	private static final long STOP_MILLIS = 6_000;

	private static final int BODY_BYTES = 50_000;

	/** An idle node has ended its links by then, and still waits for the other sides. */
	private static final long CROSSING_MILLIS = 2_700;

	/** More bytes than the system buffers for a connection. */
	private static final int CALLS = 400;

	/** Bytes that the entry node reads at a time, every {@link #READ_INTERVAL_MILLIS}. */
	private static final int READ_BYTES = 100_000;

	private static final long READ_INTERVAL_MILLIS = 20;

	private final AtomicInteger answered = new AtomicInteger();

	private ServerSocket target;

	private ProxyNode home;

	private InetSocketAddress linkAddress;

	@BeforeMethod
	public void start() throws IOException {
		this.answered.set(0);
		this.target = new ServerSocket(0, CALLS, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
		this.linkAddress = freeAddress();
		ProxySettings settings = new ProxySettings("vm-1", "a", "desk", freeAddress(), freeAddress(), this.linkAddress,
				freeAddress(), (InetSocketAddress) this.target.getLocalSocketAddress(), freeAddress(), 0, STOP_MILLIS,
				0.2, 10, 10_000, ProxySettings.DEFAULT_DRAIN_MILLIS, ProxySettings.DEFAULT_SETTLE_MILLIS, LogDetail.OFF,
				1);
		this.home = ProxyNode.start(settings, NAMES, new NoDocuments(), (loop) -> new IdleSource());
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.home.close();
		this.target.close();
	}

	@Test
	public void homeThatStopsDropsNoAnswerThatWaitsOnItsLink() throws Exception {
		try (Socket link = new Socket()) {
			link.setReceiveBufferSize(READ_BYTES);
			link.connect(this.linkAddress);
			DataOutputStream output = new DataOutputStream(link.getOutputStream());
			write(output, LinkMessage.hello(new LinkHello("vm-2", "a", "127.0.0.2:1", 7)));
			Thread.ofVirtual().start(() -> keepAlive(output));
			for (int i = 1; i <= CALLS; i++) {
				write(output, LinkMessage.call(call(i)));
			}
			awaitAnswersOfTarget();
			Thread stop = Thread.ofVirtual().start(this.home::leave);
			Assert.assertEquals(readAnswers(new DataInputStream(new SlowInput(link.getInputStream()))), CALLS,
					"whole answers on the link; node still runs: " + stop.isAlive());
		}
	}

	// The entry node took such a call for one that may have run.
	@Test(groups = "known-red")
	public void callThatCrossesTheEndOfTheLinkIsNotRefused() throws Exception {
		try (Socket link = new Socket(this.linkAddress.getAddress(), this.linkAddress.getPort())) {
			DataOutputStream output = new DataOutputStream(link.getOutputStream());
			write(output, LinkMessage.hello(new LinkHello("vm-2", "a", "127.0.0.2:1", 7).setCapacity(100)));
			Thread.ofVirtual().start(() -> keepAlive(output));
			Thread.ofVirtual().start(this.home::leave);
			sleep(CROSSING_MILLIS);
			write(output, LinkMessage.call(call(1)));
			DataInputStream input = new DataInputStream(link.getInputStream());
			Assert.assertTrue(hasFailure(input), "the link ended without a refusal");
		}
	}

	// The other side took it for a fault of the link.
	@Test
	public void lastFrameOfTheLinkIsEmpty() throws Exception {
		try (Socket link = new Socket(this.linkAddress.getAddress(), this.linkAddress.getPort())) {
			DataOutputStream output = new DataOutputStream(link.getOutputStream());
			write(output, LinkMessage.hello(new LinkHello("vm-2", "a", "127.0.0.2:1", 7).setCapacity(100)));
			Thread.ofVirtual().start(() -> keepAlive(output));
			Thread.ofVirtual().start(this.home::leave);
			DataInputStream input = new DataInputStream(link.getInputStream());
			Assert.assertFalse(readFrames(input).stream().anyMatch((frame) -> frame.length == 0), "empty frame");
		}
	}

	private static boolean hasFailure(DataInputStream input) throws Exception {
		for (byte[] frame : readFrames(input)) {
			if (frame.length > 0 && LinkFrames.decode(frame).isSetFailure()) {
				return true;
			}
		}
		return false;
	}

	private static List<byte[]> readFrames(DataInputStream input) {
		List<byte[]> frames = new ArrayList<>();
		try {
			while (true) {
				frames.add(input.readNBytes(input.readInt()));
			}
		}
		catch (IOException ex) {
			// The link has ended.
			return frames;
		}
	}

	private void awaitAnswersOfTarget() {
		while (this.answered.get() < CALLS) {
			sleep(READ_INTERVAL_MILLIS);
		}
	}

	private static int readAnswers(DataInputStream input) {
		int whole = 0;
		try {
			while (whole < CALLS) {
				LinkMessage message = LinkFrames.decode(input.readNBytes(input.readInt()));
				whole += (message.isSetData() && message.getData().isLast()) ? 1 : 0;
			}
		}
		catch (Exception ex) {
			// The link has ended.
			return whole;
		}
		return whole;
	}

	private static LinkCall call(int number) {
		long now = TimeSource.system().monotonicMillis();
		long deadline = now + TimeUnit.SECONDS.toMillis(8);
		CallHead head = new CallHead("q" + number, "route", "i-1", "GET", "/large",
				List.of("Host", "m.example", "Id", "q" + number), deadline, deadline, 1, true, false, false,
				TargetStatements.NO_LIMIT, CallHead.NO_BODY);
		return LinkFrames.toWire(number, head, now);
	}

	private void keepAlive(DataOutputStream output) {
		LinkMessage beat = LinkMessage
			.beat(new LinkBeat(List.of(0L, 0L), LinkFrames.toWire(TargetLoad.UNKNOWN)).setSource((byte) 0));
		try {
			while (true) {
				write(output, beat);
				sleep(200);
			}
		}
		catch (IOException ex) {
			// The link has ended.
			return;
		}
	}

	private static void write(DataOutputStream output, LinkMessage message) throws IOException {
		byte[] frame = LinkFrames.encode(message);
		synchronized (output) {
			output.writeInt(frame.length);
			output.write(frame);
			output.flush();
		}
	}

	private void accept() {
		try {
			while (true) {
				Socket accepted = this.target.accept();
				Thread.ofVirtual().start(() -> serve(accepted));
			}
		}
		catch (IOException ex) {
			// The target was closed.
			return;
		}
	}

	private void serve(Socket accepted) {
		try (accepted) {
			InputStream input = accepted.getInputStream();
			OutputStream output = accepted.getOutputStream();
			StringBuilder head = new StringBuilder();
			for (int next = input.read(); next >= 0; next = input.read()) {
				head.append((char) next);
				if (head.toString().endsWith("\r\n\r\n")) {
					String id = head.toString().replaceAll("(?s).*\r\nId: ([^\r]*)\r.*", "$1");
					head.setLength(0);
					output.write(("HTTP/1.1 200 OK\r\nId: " + id + "\r\nSignature: s\r\nContent-Length: " + BODY_BYTES
							+ "\r\n\r\n" + "x".repeat(BODY_BYTES))
						.getBytes(StandardCharsets.US_ASCII));
					this.answered.incrementAndGet();
				}
			}
		}
		catch (IOException ex) {
			// The home closed the connection.
			return;
		}
	}

	private static InetSocketAddress freeAddress() throws IOException {
		try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return (InetSocketAddress) free.getLocalSocketAddress();
		}
	}

	private static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Reads a few bytes at a time, as from a congested network. */
	private static final class SlowInput extends InputStream {

		private final InputStream input;

		private int left;

		private SlowInput(InputStream input) {
			this.input = input;
		}

		@Override
		public int read() throws IOException {
			byte[] one = new byte[1];
			return (read(one, 0, 1) < 0) ? -1 : one[0] & 0xff;
		}

		@Override
		public int read(byte[] bytes, int offset, int length) throws IOException {
			if (this.left <= 0) {
				sleep(READ_INTERVAL_MILLIS);
				this.left = READ_BYTES;
			}
			int count = this.input.read(bytes, offset, Math.min(length, this.left));
			this.left -= Math.max(0, count);
			return count;
		}

	}

	/** A decoder that is given no document. */
	private static final class NoDocuments implements DocumentDecoder {

		@Override
		public Either<List<Problem>, MeshConfig> config(SourceItem item) {
			throw new AssertionError("no document was published");
		}

		@Override
		public OptionalLong configVersion(SourceItem item) {
			return OptionalLong.empty();
		}

		@Override
		public Either<List<Problem>, TargetEntry> target(SourceItem item) {
			throw new AssertionError("no document was published");
		}

	}

}
