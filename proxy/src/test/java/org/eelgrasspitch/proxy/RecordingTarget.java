package org.eelgrasspitch.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/**
 * A target that records when each request reaches it, and answers when it is told to.
 */
final class RecordingTarget implements AutoCloseable {

	private static final int BACKLOG = 500;

	private final ServerSocket socket;

	private final Map<String, Long> arrivedNanos = new ConcurrentHashMap<>();

	/** Ends of connections, by the identifier of the last request on them. */
	private final Map<String, Long> endedNanos = new ConcurrentHashMap<>();

	private final boolean refusing;

	private volatile CountDownLatch answers = new CountDownLatch(0);

	/**
	 * Starts a target.
	 * @param address address of its VM
	 * @param refusing whether it states that it has not run a request, in place of an
	 * answer
	 */
	RecordingTarget(InetAddress address, boolean refusing) throws IOException {
		this.socket = new ServerSocket(0, BACKLOG, address);
		this.refusing = refusing;
		Thread.ofVirtual().start(this::accept);
	}

	InetSocketAddress address() {
		return (InetSocketAddress) this.socket.getLocalSocketAddress();
	}

	/**
	 * Lets requests that arrive from now on wait for {@link #answer()}.
	 */
	void holdAnswers() {
		this.answers = new CountDownLatch(1);
	}

	void answer() {
		this.answers.countDown();
	}

	Map<String, Long> arrivedNanos() {
		return this.arrivedNanos;
	}

	Map<String, Long> endedNanos() {
		return this.endedNanos;
	}

	private void accept() {
		while (!this.socket.isClosed()) {
			try {
				Socket accepted = this.socket.accept();
				Thread.ofVirtual().start(() -> serve(accepted));
			}
			catch (IOException ex) {
				// The test has closed the socket.
				return;
			}
		}
	}

	private void serve(Socket accepted) {
		String id = "";
		try (accepted) {
			InputStream input = accepted.getInputStream();
			while (true) {
				String head = readHead(input);
				id = header(head, "id");
				this.arrivedNanos.put(id, System.nanoTime());
				CountDownLatch permission = this.answers;
				input.readNBytes(bodyLength(head));
				permission.await();
				String status = this.refusing ? "503 No\r\nNot-Run: 1" : "200 OK";
				accepted.getOutputStream()
					.write(("HTTP/1.1 " + status + "\r\nSignature: s\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok")
						.getBytes(StandardCharsets.US_ASCII));
			}
		}
		catch (IOException | InterruptedException ex) {
			// The home closed the connection.
			this.endedNanos.put(id, System.nanoTime());
		}
	}

	private static int bodyLength(String head) {
		String length = header(head, "content-length");
		return length.isEmpty() ? 0 : Integer.parseInt(length);
	}

	static String header(String head, String name) {
		return head.lines()
			.filter((line) -> line.toLowerCase().startsWith(name + ": "))
			.findFirst()
			.map((line) -> line.substring(name.length() + 2))
			.orElse("");
	}

	static String readHead(InputStream input) throws IOException {
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

	@Override
	public void close() throws IOException {
		answer();
		this.socket.close();
	}

}
