package org.eelgrasspitch.testkit.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.eelgrasspitch.testkit.soak.Evidence.Attempt;
import org.eelgrasspitch.testkit.soak.Evidence.Request;

/**
 * A caller's connection to a node.
 */
final class CallerConnection implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final int READ_TIMEOUT_MILLIS = 6_000;

	private static final int CHUNK_BYTES = 7_000;

	private static final int NO_CONTENT = 204;

	private final Socket socket = new Socket();

	private final HttpReader reader;

	private final String vm;

	private final Evidence evidence;

	private boolean kept = true;

	private String lastId = "none";

	/**
	 * Opens a connection from the address of the VM.
	 * @param vm name of the VM
	 * @param entry address of its node
	 * @param evidence where stray bytes are recorded
	 * @throws IOException if the connection cannot be opened
	 */
	CallerConnection(String vm, InetSocketAddress entry, Evidence evidence) throws IOException {
		this.vm = vm;
		this.evidence = evidence;
		this.socket.bind(new InetSocketAddress(entry.getAddress(), 0));
		this.socket.connect(entry, CONNECT_TIMEOUT_MILLIS);
		this.socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		this.socket.setTcpNoDelay(true);
		this.reader = new HttpReader(this.socket.getInputStream());
	}

	/**
	 * Returns whether a further request may be sent.
	 * @return false once an answer has ended the connection
	 */
	boolean isKept() {
		return this.kept;
	}

	/**
	 * Sends a request.
	 * @param attempt the attempt
	 * @param timeoutMillis how long the caller says that it waits
	 * @param chunked whether a body is sent in chunks
	 */
	void send(Attempt attempt, int timeoutMillis, boolean chunked) {
		Request request = attempt.request;
		this.lastId = request.id();
		String framing = (request.bodyBytes() == 0) ? ""
				: (chunked) ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + request.bodyBytes() + "\r\n";
		String head = request.method() + " " + request.path() + " HTTP/1.1\r\nHost: " + Routes.HOST
				+ "\r\nX-Request-Id: " + request.id() + "\r\nX-Request-Timeout-Ms: " + timeoutMillis + "\r\n" + framing
				+ "\r\n";
		try {
			OutputStream output = this.socket.getOutputStream();
			output.write(head.getBytes(StandardCharsets.US_ASCII));
			writeBody(output, request.body(), chunked);
			output.flush();
		}
		catch (IOException ex) {
			// The answer to it may be there already, and is read all the same.
			this.kept = false;
		}
		attempt.writtenMillis = this.evidence.now();
	}

	private static void writeBody(OutputStream output, byte[] body, boolean chunked) throws IOException {
		if (!chunked) {
			output.write(body);
			return;
		}
		if (body.length == 0) {
			return;
		}
		for (int start = 0; start < body.length; start += CHUNK_BYTES) {
			int length = Math.min(CHUNK_BYTES, body.length - start);
			output.write((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
			output.write(body, start, length);
			output.write("\r\n".getBytes(StandardCharsets.US_ASCII));
		}
		output.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
	}

	/**
	 * Reads the answer to the oldest request that waits.
	 * @param attempt the attempt, which gets what arrived
	 */
	void read(Attempt attempt) {
		String end = "answered";
		try {
			int status = readStatus();
			Map<String, String> fields = this.reader.fields();
			attempt.fields = fields;
			attempt.status = status;
			boolean framed = fields.containsKey("content-length") || fields.containsKey("transfer-encoding");
			boolean bodiless = attempt.request.method().equals("HEAD") || status == NO_CONTENT;
			attempt.body = this.reader.body((bodiless) ? Map.of() : fields, !bodiless);
			this.kept &= (framed || bodiless) && !"close".equalsIgnoreCase(fields.get("connection"));
		}
		catch (SocketTimeoutException ex) {
			end = "silent for " + READ_TIMEOUT_MILLIS + " ms";
			this.kept = false;
		}
		catch (HttpReader.MalformedException | IllegalArgumentException ex) {
			end = Judge.MALFORMED + ex.getMessage();
			this.kept = false;
		}
		catch (IOException ex) {
			end = "connection ended: " + ex.getMessage();
			this.kept = false;
		}
		attempt.end = end;
		attempt.endMillis = this.evidence.now();
	}

	private int readStatus() throws IOException {
		int status = 100;
		while (true) {
			String line = this.reader.line();
			if (!line.matches("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?")) {
				throw new HttpReader.MalformedException(line);
			}
			status = Integer.parseInt(line.split(" ")[1]);
			if (status >= 200) {
				return status;
			}
			this.reader.fields();
		}
	}

	/**
	 * Records bytes that arrived with no request waiting. Closes the connection if there
	 * are any.
	 */
	void checkStray() {
		try {
			if (this.kept && this.reader.available() > 0) {
				this.evidence.stray(this.vm, this.lastId, this.reader.line());
				this.kept = false;
			}
		}
		catch (IOException ex) {
			this.kept = false;
		}
	}

	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			System.err.println("a caller's connection cannot be closed: " + ex);
		}
	}

}
