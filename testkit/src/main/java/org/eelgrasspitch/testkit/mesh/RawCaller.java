package org.eelgrasspitch.testkit.mesh;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A caller with one HTTP/1.1 connection over a plain socket. Tests can send malformed or
 * partial requests and see exactly what arrives.
 */
public final class RawCaller implements AutoCloseable {

	private static final int READ_TIMEOUT_MILLIS = 8_000;

	private final Socket socket;

	private final InputStream input;

	/**
	 * Opens a connection.
	 * @param entry the entry's address
	 * @throws IOException if the connection cannot be opened
	 */
	public RawCaller(InetSocketAddress entry) throws IOException {
		this(new Socket(entry.getAddress(), entry.getPort()));
	}

	/**
	 * Opens a connection from a given local address.
	 * @param entry the entry's address
	 * @param localAddress local address to bind; the port is chosen by the system
	 * @throws IOException if the connection cannot be opened
	 */
	public RawCaller(InetSocketAddress entry, InetAddress localAddress) throws IOException {
		this(new Socket(entry.getAddress(), entry.getPort(), localAddress, 0));
	}

	/**
	 * Opens a connection that buffers little of what arrives.
	 * @param entry the entry's address
	 * @param localAddress local address to bind; the port is chosen by the system
	 * @param receiveBufferBytes size of the system's receive buffer
	 * @throws IOException if the connection cannot be opened
	 */
	public RawCaller(InetSocketAddress entry, InetAddress localAddress, int receiveBufferBytes) throws IOException {
		this(connect(entry, localAddress, receiveBufferBytes));
	}

	private RawCaller(Socket socket) throws IOException {
		this.socket = socket;
		this.socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		this.input = new BufferedInputStream(this.socket.getInputStream());
	}

	private static Socket connect(InetSocketAddress entry, InetAddress localAddress, int receiveBufferBytes)
			throws IOException {
		Socket socket = new Socket();
		// The size counts only when it is set before the connection is opened.
		socket.setReceiveBufferSize(receiveBufferBytes);
		socket.bind(new InetSocketAddress(localAddress, 0));
		socket.connect(entry);
		return socket;
	}

	/**
	 * Sends text unchanged, encoded as US-ASCII.
	 * @param text the text
	 * @throws IOException if the write fails
	 */
	public void send(String text) throws IOException {
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
		this.socket.getOutputStream().flush();
	}

	/**
	 * Sends a request without waiting for the response.
	 * @param method the method
	 * @param host the host
	 * @param path the path
	 * @param id the request's identifier
	 * @param timeoutMillis timeout that the request announces, in milliseconds; not
	 * enforced here
	 * @param body the body, in US-ASCII; empty for none
	 * @throws IOException if the write fails
	 */
	public void request(String method, String host, String path, String id, long timeoutMillis, String body)
			throws IOException {
		String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
		send(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
				+ "\r\nX-Request-Timeout-Ms: " + timeoutMillis + "\r\n" + length + "\r\n" + body);
	}

	/**
	 * Reads one response, with a content length or chunked.
	 * @return the response; its status is 0 when the connection was closed before a
	 * status line
	 * @throws IOException if the read fails or nothing arrives within 8 s
	 */
	public Response read() throws IOException {
		String line = ServerStandIn.readLine(this.input);
		if (line == null || line.isEmpty()) {
			return new Response(0, Map.of(), "", false);
		}
		int status = Integer.parseInt(line.split(" ")[1]);
		return readBody(status, ServerStandIn.readHeaders(this.input));
	}

	/**
	 * Reads one response and keeps nothing of it.
	 * @return true if its body ended as its head announced; false if the connection was
	 * closed before
	 * @throws IOException if nothing arrives within 8 s
	 */
	public boolean isWholeWhenSkipped() throws IOException {
		try {
			ServerStandIn.readLine(this.input);
			Map<String, String> headers = ServerStandIn.readHeaders(this.input);
			if (headers.containsKey("content-length")) {
				this.input.skipNBytes(Long.parseLong(headers.get("content-length")));
				return true;
			}
			int size = readChunkSize();
			while (size > 0) {
				this.input.skipNBytes(size + (long) "\r\n".length());
				size = readChunkSize();
			}
			return size == 0;
		}
		catch (EOFException | SocketException ex) {
			return false;
		}
	}

	/**
	 * Reads the size line of a chunk.
	 * @return the size in bytes; negative if the connection was closed
	 */
	private int readChunkSize() throws IOException {
		String line = ServerStandIn.readLine(this.input);
		return (line == null || line.isEmpty()) ? -1 : Integer.parseInt(line, 16);
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
	 * A response as received.
	 *
	 * @param status HTTP status; 0 when there was no response
	 * @param headers header fields by name in lower case
	 * @param body the part of the body that arrived
	 * @param whole whether the body arrived completely
	 */
	public record Response(int status, Map<String, String> headers, String body, boolean whole) {

	}

}
