package org.eelgrasspitch.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands in for a target whose health check succeeds and which closes the connection in
 * the middle of the response to any other request.
 */
public final class BrokenTarget implements AutoCloseable {

	private static final int BACKLOG = 100;

	private static final long BIND_TIMEOUT_MILLIS = 10_000;

	private static final long BIND_RETRY_MILLIS = 50;

	private static final int BUFFER_BYTES = 65_536;

	private final ServerSocket server;

	/** Number of requests that arrived, without health checks. */
	private final AtomicInteger received = new AtomicInteger();

	/**
	 * Starts a broken target.
	 * @param address address to listen on
	 * @throws UncheckedIOException if the address stays in use for 10 s
	 */
	public BrokenTarget(InetSocketAddress address) {
		this.server = bind(address);
		Thread thread = new Thread(this::accept, "broken-target");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Returns how many requests arrived, without health checks.
	 * @return the number since the start
	 */
	public int received() {
		return this.received.get();
	}

	@Override
	public void close() {
		try {
			this.server.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Binds the address. Retries, because a target that was just closed may still hold
	 * it.
	 */
	private static ServerSocket bind(InetSocketAddress address) {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BIND_TIMEOUT_MILLIS);
		while (true) {
			try {
				return new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
			}
			catch (IOException ex) {
				if (System.nanoTime() > deadlineNanos) {
					throw new UncheckedIOException(ex);
				}
				Cluster.sleep(BIND_RETRY_MILLIS);
			}
		}
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try (Socket socket = this.server.accept()) {
				serve(socket);
			}
			catch (IOException ex) {
				// The server socket was closed or the peer disconnected; both are
				// expected.
				continue;
			}
		}
	}

	private void serve(Socket socket) throws IOException {
		InputStream input = socket.getInputStream();
		byte[] buffer = new byte[BUFFER_BYTES];
		int length = input.read(buffer);
		String head = new String(buffer, 0, Math.max(length, 0), StandardCharsets.UTF_8);
		boolean healthCheck = head.startsWith("GET /health");
		if (!healthCheck) {
			this.received.incrementAndGet();
		}
		String answer = healthCheck ? "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
				: "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{\"requestId\": \"half";
		socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
		socket.getOutputStream().flush();
	}

}
