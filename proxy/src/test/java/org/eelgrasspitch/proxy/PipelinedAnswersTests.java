package org.eelgrasspitch.proxy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.eelgrasspitch.mesh.CallerLimits;
import org.eelgrasspitch.mesh.Destination;
import org.eelgrasspitch.mesh.MeshConfig;
import org.eelgrasspitch.mesh.MeshRoute;
import org.eelgrasspitch.mesh.RouteTable;
import org.eelgrasspitch.mesh.TargetDirectory;
import org.eelgrasspitch.mesh.TargetEntry;
import org.eelgrasspitch.misc.TimeSource;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A caller that sends requests before the earlier ones are answered. The answers differ
 * in when and how they end, and each must be that of its own request.
 */
public class PipelinedAnswersTests {

	private static final HeaderNames NAMES = new HeaderNames("Id", "Left", "Signature", "Expected", "Not-Run",
			"Caller-Service", "Target", "Limit", "Leaving", "/ready");

	private static final int TIMEOUT_MILLIS = 5_000;

	/** Time that the caller of a request allows whose target stays silent. */
	private static final int SILENT_MILLIS = 120;

	private static final long SLOW_MILLIS = 60;

	private static final int MAX_BODY_BYTES = 300_000;

	/** More than a node keeps of a body or of an answer before it passes it on. */
	private static final int STREAMED_BYTES = 150_000;

	private static final int SLOTS = 500;

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private ServerSocket target;

	private InetSocketAddress entryAddress;

	/** What the target does with a request, and what its caller must get. */
	enum Kind {

		/** A body with a length. */
		LENGTH("200"),

		/** A body in chunks. */
		CHUNKS("200"),

		/** The head of an answer with a length. */
		HEAD("200"),

		/** An answer after a time. */
		SLOW("200"),

		/** An answer that breaks off. */
		BROKEN("502"),

		/** No answer. */
		SILENT("504"),

		/** A request that no route matches. */
		UNKNOWN("404");

		private final String status;

		Kind(String status) {
			this.status = status;
		}

		boolean hasBody() {
			return this == LENGTH || this == CHUNKS || this == SLOW;
		}

	}

	@BeforeClass
	public void start() throws IOException {
		this.target = new ServerSocket(0, SLOTS, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
		InetSocketAddress address = (InetSocketAddress) this.target.getLocalSocketAddress();
		this.entryAddress = freeAddress();
		ProxySettings settings = new ProxySettings("vm-1", "a", "desk", this.entryAddress, freeAddress(), freeAddress(),
				freeAddress(), address, freeAddress(), 0, 1_000, 0.2, 10, 10_000, ProxySettings.DEFAULT_DRAIN_MILLIS,
				ProxySettings.DEFAULT_SETTLE_MILLIS, LogDetail.OFF, 1);
		TimeSource time = TimeSource.system();
		ProxyContext context = new ProxyContext(settings, NAMES, (EventLoop) this.group.next(), time,
				new SplittableRandom(1), new DecisionLog("vm-1", time, LogDetail.OFF, 1), new ProxyMetrics());
		QuarantineKeeper quarantine = new QuarantineKeeper(context);
		HomeService home = new HomeService(context, quarantine);
		EntryService entry = new EntryService(context, home, new LinkManager(context, home, quarantine, 1));
		MeshRoute route = new MeshRoute("read", "m.example", "/", true, 1_000, 1, 3_000, 1,
				List.of(new Destination("desk", 1)));
		TargetDirectory directory = new TargetDirectory(
				List.of(new TargetEntry("i-1", "desk", address, "a", SLOTS, false, 0, 1, 1)));
		RoutingState state = new RoutingState(
				new MeshConfig(1, new CallerLimits(16_384, MAX_BODY_BYTES, 5_000, 60_000),
						new RouteTable(List.of(route)), Map.of()),
				directory, true, RoutingState.EMPTY.positions(), RoutingState.EMPTY.lastChanges(),
				RoutingState.EMPTY.lastDeltaAtMillis(), RoutingState.EMPTY.sourceReport());
		context.loop().submit(() -> {
			home.updateDirectory(directory);
			entry.updateState(state);
		}).syncUninterruptibly();
		new EntryServer(entry, null).start();
	}

	@AfterClass(alwaysRun = true)
	public void stop() throws IOException {
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
		this.target.close();
	}

	@DataProvider(parallel = true)
	Object[][] sequences() {
		List<Object[]> cases = new ArrayList<>();
		for (Kind first : Kind.values()) {
			for (Kind second : Kind.values()) {
				for (Kind third : Kind.values()) {
					cases.add(new Object[] { first, second, third });
				}
			}
		}
		return cases.toArray(Object[][]::new);
	}

	@Test(dataProvider = "sequences")
	public void eachAnswerIsThatOfItsRequest(Kind first, Kind second, Kind third) throws IOException {
		List<Kind> kinds = List.of(first, second, third);
		try (Socket caller = connect()) {
			StringBuilder requests = new StringBuilder();
			for (int i = 0; i < kinds.size(); i++) {
				requests.append(request(kinds.get(i), id(kinds, i)));
			}
			write(caller, requests.toString());
			for (int i = 0; i < kinds.size(); i++) {
				assertAnswers(caller.getInputStream(), kinds.get(i), id(kinds, i));
			}
		}
	}

	private static String id(List<Kind> kinds, int index) {
		return kinds + "-" + index;
	}

	private static String request(Kind kind, String id) {
		String method = (kind == Kind.HEAD) ? "HEAD" : "GET";
		String host = (kind == Kind.UNKNOWN) ? "other.example" : "m.example";
		int allowedMillis = (kind == Kind.SILENT) ? SILENT_MILLIS : TIMEOUT_MILLIS;
		return method + " /" + kind + " HTTP/1.1\r\nHost: " + host + "\r\nId: " + id + "\r\nLeft: " + allowedMillis
				+ "\r\n\r\n";
	}

	private static void assertAnswers(InputStream input, Kind kind, String id) throws IOException {
		String head = readHead(input);
		Assert.assertTrue(head.startsWith("HTTP/1.1 " + kind.status + " "), head);
		Assert.assertEquals(header(head, "id"), id);
		if (kind == Kind.HEAD) {
			return;
		}
		String content = new String(input.readNBytes(Integer.parseInt(header(head, "content-length"))),
				StandardCharsets.US_ASCII);
		Assert.assertEquals(content, kind.hasBody() ? id : "");
	}

	// The refusal of a body that becomes too long was sent in the middle of an answer
	// that
	// the target had begun before it had read the body.
	@Test
	public void answerThatCannotBeCompletedEndsTheConnection() throws IOException {
		try (Socket caller = connect()) {
			write(caller, "POST /early HTTP/1.1\r\nHost: m.example\r\nId: q\r\nTransfer-Encoding: chunked\r\n\r\n"
					+ chunk(STREAMED_BYTES));
			String head = readHead(caller.getInputStream());
			Assert.assertTrue(head.startsWith("HTTP/1.1 200 "), head);
			write(caller, chunk(MAX_BODY_BYTES));
			String rest = readToTheEnd(caller.getInputStream());
			Assert.assertFalse(rest.contains("HTTP/1.1"), rest.replaceAll("a+", "a"));
		}
	}

	private static String chunk(int bytes) {
		return Integer.toHexString(bytes) + "\r\n" + "b".repeat(bytes) + "\r\n";
	}

	private static String readToTheEnd(InputStream input) {
		ByteArrayOutputStream rest = new ByteArrayOutputStream();
		try {
			input.transferTo(rest);
		}
		catch (SocketTimeoutException ex) {
			throw new AssertionError("the connection does not end", ex);
		}
		catch (IOException ex) {
			// A reset also ends the answer.
			return rest.toString(StandardCharsets.US_ASCII);
		}
		return rest.toString(StandardCharsets.US_ASCII);
	}

	private Socket connect() throws IOException {
		Socket caller = new Socket(this.entryAddress.getAddress(), this.entryAddress.getPort());
		caller.setSoTimeout(TIMEOUT_MILLIS);
		return caller;
	}

	private void accept() {
		while (!this.target.isClosed()) {
			try {
				Socket accepted = this.target.accept();
				Thread.ofVirtual().start(() -> serve(accepted));
			}
			catch (IOException ex) {
				// The test has closed the socket.
				return;
			}
		}
	}

	private void serve(Socket accepted) {
		try (accepted) {
			while (true) {
				String head = readHead(accepted.getInputStream());
				String uri = head.split(" ")[1].substring(1);
				String id = header(head, "id");
				String answer = "HTTP/1.1 200 OK\r\nSignature: s\r\nId: " + id + "\r\n";
				if (uri.equals("early")) {
					write(accepted,
							answer + "Content-Length: " + 2 * STREAMED_BYTES + "\r\n\r\n" + "a".repeat(STREAMED_BYTES));
					accepted.getInputStream().transferTo(OutputStream.nullOutputStream());
					return;
				}
				String length = "Content-Length: " + id.length() + "\r\n\r\n";
				switch (Kind.valueOf(uri)) {
					case LENGTH -> write(accepted, answer + length + id);
					case CHUNKS -> write(accepted, answer + "Transfer-Encoding: chunked\r\n\r\n"
							+ Integer.toHexString(id.length()) + "\r\n" + id + "\r\n0\r\n\r\n");
					case HEAD -> write(accepted, answer + length);
					case SLOW -> {
						TimeUnit.MILLISECONDS.sleep(SLOW_MILLIS);
						write(accepted, answer + length + id);
					}
					case BROKEN -> {
						write(accepted, answer + length + "x");
						return;
					}
					default -> accepted.getInputStream().read();
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// The home closed the connection.
			return;
		}
	}

	private static String header(String head, String name) {
		return head.lines()
			.filter((line) -> line.toLowerCase().startsWith(name + ": "))
			.findFirst()
			.map((line) -> line.substring(name.length() + 2))
			.orElse("");
	}

	private static String readHead(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			int next = input.read();
			if (next < 0) {
				throw new IOException("end of the connection after: " + head);
			}
			head.append((char) next);
		}
		return head.toString();
	}

	private static void write(Socket accepted, String text) throws IOException {
		accepted.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	private static InetSocketAddress freeAddress() throws IOException {
		try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return (InetSocketAddress) free.getLocalSocketAddress();
		}
	}

}
