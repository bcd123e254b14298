package org.eelgrasspitch.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.fleet.FleetEffect;
import org.eelgrasspitch.fleet.FleetEvent;
import org.eelgrasspitch.request.Guards;
import org.eelgrasspitch.text.Channel;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A platform that writes its answer to a first call once more. The next call, for the
 * same document or the other one, must get its own answer or fail.
 */
@Test(singleThreaded = true)
public class RepeatedPlatformAnswerTests {

	private static final long TIMEOUT_MILLIS = 5_000;

	private static final long PAUSE_MILLIS = 100;

	private static final String TEXT = "HTTP/1.1 200 OK\r\nRevision: 5\r\nContent-Length: 4\r\n\r\ntext";

	private static final String UNCHANGED = "HTTP/1.1 204 No Content\r\nRevision: 9\r\n\r\n";

	private static final String SECOND = "HTTP/1.1 200 OK\r\nRevision: 7\r\nContent-Length: 6\r\n\r\nsecond";

	private final BlockingQueue<FleetEvent> events = new LinkedBlockingQueue<>();

	private ServerSocket platform;

	private PlatformClient client;

	private volatile String first;

	private volatile String copy;

	private volatile boolean copiesLate;

	@BeforeMethod
	public void start() throws IOException {
		this.events.clear();
		this.platform = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
		Thread.ofVirtual().start(this::accept);
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
		this.client = new PlatformClient(new NodeSettings("vm-1", "a", "desk", any, any, any, any, any,
				"http://127.0.0.1:" + this.platform.getLocalPort(), List.of(), Distribution.values()[0], 1, 1, 1_000,
				1_000, 1_000, Guards.ALL), new NodeMetrics(), this.events::add);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws IOException {
		this.client.close();
		this.platform.close();
	}

	@DataProvider
	Object[][] copies() {
		List<Object[]> cases = new ArrayList<>();
		for (Channel next : Channel.values()) {
			for (String answer : List.of(TEXT, UNCHANGED)) {
				for (boolean late : new boolean[] { false, true }) {
					cases.add(new Object[] { next, answer, answer, late });
					cases.add(new Object[] { next, answer, "HTTP/1.1 204 N", late });
				}
			}
		}
		return cases.toArray(Object[][]::new);
	}

	// The copy of an answer was taken for that to the next call, for either document.
	@Test(dataProvider = "copies")
	public void copyOfAnAnswerIsNotTakenForThatToTheNextCall(Channel next, String answer, String repeated, boolean late)
			throws Exception {
		this.first = answer;
		this.copy = repeated;
		this.copiesLate = late;
		call(new FleetEffect.CallPlatform(Channel.TEXT, 1, 0, 0));
		TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
		FleetEvent event = call(new FleetEffect.CallPlatform(next, 2, 0, 0));
		Assert.assertTrue(event instanceof FleetEvent.PlatformServed served && served.revision() == 7
				&& new String(served.content(), StandardCharsets.US_ASCII).equals("second"), event.toString());
	}

	private FleetEvent call(FleetEffect.CallPlatform call) throws InterruptedException {
		this.client.call(call);
		return this.events.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void accept() {
		boolean firstCall = true;
		while (!this.platform.isClosed()) {
			try {
				Socket accepted = this.platform.accept();
				boolean answersFirst = firstCall;
				firstCall = false;
				Thread.ofVirtual().start(() -> serve(accepted, answersFirst));
			}
			catch (IOException ex) {
				// The test has closed the socket.
				return;
			}
		}
	}

	private void serve(Socket accepted, boolean answersFirst) {
		try (accepted) {
			readHead(accepted.getInputStream());
			if (answersFirst) {
				write(accepted, this.first + (this.copiesLate ? "" : this.copy));
				readHead(accepted.getInputStream());
				write(accepted, this.copiesLate ? this.copy : "");
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
			}
			write(accepted, SECOND);
			readHead(accepted.getInputStream());
		}
		catch (IOException | InterruptedException ex) {
			// The client closed the connection.
			return;
		}
	}

	private static void readHead(InputStream input) throws IOException {
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			int next = input.read();
			if (next < 0) {
				throw new IOException("end of the connection");
			}
			head.append((char) next);
		}
	}

	private static void write(Socket accepted, String text) throws IOException {
		accepted.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

}
