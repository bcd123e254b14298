package org.eelgrasspitch.testkit.mesh;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A requester that sees every byte of its connection.
 */
public final class RawCaller implements AutoCloseable {

	private static final int READ_TIMEOUT_MILLIS = 8_000;

	private final Socket socket;

	private final InputStream input;

	/**
	 * Connects.
	 * @param entry the entry's address
	 * @throws IOException if the connection cannot be opened
	 */
	public RawCaller(InetSocketAddress entry) throws IOException {
		this(new Socket(entry.getAddress(), entry.getPort()));
	}

	/**
	 * Connects from a local address.
	 * @param entry the entry's address
	 * @param localAddress the address to connect from
	 * @throws IOException if the connection cannot be opened
	 */
	public RawCaller(InetSocketAddress entry, InetAddress localAddress) throws IOException {
		this(new Socket(entry.getAddress(), entry.getPort(), localAddress, 0));
	}

	private RawCaller(Socket socket) throws IOException {
		this.socket = socket;
		this.socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		this.input = new BufferedInputStream(this.socket.getInputStream());
	}

	/**
	 * Sends text as it is.
	 * @param text the text
	 * @throws IOException if the connection is closed
	 */
	public void send(String text) throws IOException {
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
		this.socket.getOutputStream().flush();
	}

	/**
	 * Sends a request.
	 * @param method the method
	 * @param host the host
	 * @param path the path
	 * @param id the request's identifier
	 * @param timeoutMillis how long this requester says it waits
	 * @param body the body; empty for none
	 * @throws IOException if the connection is closed
	 */
	public void request(String method, String host, String path, String id, long timeoutMillis, String body)
			throws IOException {
		String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
		send(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
				+ "\r\nX-Request-Timeout-Ms: " + timeoutMillis + "\r\n" + length + "\r\n" + body);
	}

	/**
	 * Reads one answer.
	 * @return the answer; its status is 0 when the connection was closed before one
	 * @throws IOException if nothing arrives in time
	 */
	public Response read() throws IOException {
		String line = ServerStandIn.readLine(this.input);
		if (line == null || line.isEmpty()) {
			return new Response(0, Map.of(), "", false);
		}
		int status = Integer.parseInt(line.split(" ")[1]);
		return readBody(status, ServerStandIn.readHeaders(this.input));
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	private Response readBody(int status, Map<String, String> headers) throws IOException {
		if (headers.containsKey("content-length")) {
			int length = Integer.parseInt(headers.get("content-length"));
			byte[] bytes = this.input.readNBytes(length);
			return new Response(status, headers, new String(bytes, StandardCharsets.US_ASCII), bytes.length == length);
		}
		StringBuilder body = new StringBuilder();
		for (String line = ServerStandIn.readLine(this.input); line != null; line = ServerStandIn
			.readLine(this.input)) {
			int size = Integer.parseInt(line, 16);
			body.append(new String(this.input.readNBytes(size), StandardCharsets.US_ASCII));
			ServerStandIn.readLine(this.input);
			if (size == 0) {
				return new Response(status, headers, body.toString(), true);
			}
		}
		return new Response(status, headers, body.toString(), false);
	}

	/**
	 * An answer as it arrived.
	 *
	 * @param status its status; 0 for none
	 * @param headers its fields by name in lower case
	 * @param body its body as far as it arrived
	 * @param whole whether it arrived completely
	 */
	public record Response(int status, Map<String, String> headers, String body, boolean whole) {

	}

}
