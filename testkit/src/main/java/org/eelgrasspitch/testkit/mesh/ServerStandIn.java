package org.eelgrasspitch.testkit.mesh;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Stands in for a server of the platform. The last segment of a request's path selects
 * the behaviour, for example {@code fail}, {@code truncated}, {@code wait100} or
 * {@code bytes5000}; other segments get a normal response. {@link #received} returns the
 * requests that arrived.
 */
public final class ServerStandIn implements AutoCloseable {

	private static final int BACKLOG = 256;

	private static final int BIND_ATTEMPTS = 50;

	private static final long BIND_RETRY_MILLIS = 20;

	/** Duration of a {@code stall-} request that names this server. */
	private static final long STALL_MILLIS = 60_000;

	private static final String CLOSE = "Connection: close\r\n";

	private static final int LONG_BODY_BYTES = 300_000;

	private static final int HUGE_BODY_BYTES = 4_000_000;

	/** Prefix of requests that notice when their connection ends before the answer. */
	private static final String WATCH_PREFIX = "watch";

	private static final String ENDLESS_PREFIX = "endless-";

	private static final String STOPS_PREFIX = "stops-";

	private static final int ENDLESS_BLOCK_BYTES = 4_096;

	private final ServerSocket socket;

	private final String id;

	/** Every request that arrived, in order. */
	private final List<Received> received = new ArrayList<>();

	/** Identifiers of {@code watch} requests whose connection ended while they ran. */
	private final List<String> cutOff = new ArrayList<>();

	private final AtomicInteger connections = new AtomicInteger();

	private final AtomicInteger running = new AtomicInteger();

	/** Bytes written by {@code endless-} requests. */
	private final AtomicLong endlessBytes = new AtomicLong();

	private final AtomicInteger maxRunning = new AtomicInteger();

	/** Header fields that all answers carry, each with its line end. */
	private volatile String statements = "";

	private final List<Socket> openSockets = new ArrayList<>();

	/**
	 * Starts a server.
	 * @param id instance identifier; requests whose {@code X-Expected-Instance} differs
	 * from it get status 421
	 * @param address address to listen on
	 * @throws IOException if the address cannot be bound
	 */
	public ServerStandIn(String id, InetSocketAddress address) throws IOException {
		this.id = id;
		this.socket = new ServerSocket();
		this.socket.setReuseAddress(true);
		bind(address);
		Thread.ofVirtual().start(this::accept);
	}

	/**
	 * Returns the requests that arrived so far.
	 * @return the requests in the order of their arrival
	 */
	public synchronized List<Received> received() {
		return List.copyOf(this.received);
	}

	/**
	 * Returns the {@code watch} requests whose connection the other side ended while they
	 * ran.
	 * @return their identifiers
	 */
	public synchronized List<String> cutOff() {
		return List.copyOf(this.cutOff);
	}

	/**
	 * Adds header fields to all further answers.
	 * @param fields the fields, such as {@code Server-Limit: 5}; none to add no field
	 */
	public void state(String... fields) {
		this.statements = Stream.of(fields).map((field) -> field + "\r\n").collect(Collectors.joining());
	}

	/**
	 * Returns how many connections were accepted since the start.
	 * @return the number
	 */
	public int connections() {
		return this.connections.get();
	}

	/**
	 * Returns the highest number of requests that ran at the same time.
	 * @return the number
	 */
	public int maxRunning() {
		return this.maxRunning.get();
	}

	/**
	 * Returns whether the server was closed, by a test or by a {@code crash} request.
	 * @return true when it accepts no more connections
	 */
	public boolean isClosed() {
		return this.socket.isClosed();
	}

	/**
	 * Returns how many bytes {@code endless-} requests have got rid of.
	 * @return the number of bytes, including those in buffers of the system
	 */
	public long endlessBytes() {
		return this.endlessBytes.get();
	}

	/**
	 * Returns how many requests are running.
	 * @return the number
	 */
	public int running() {
		return this.running.get();
	}

	@Override
	public synchronized void close() throws IOException {
		this.socket.close();
		for (Socket each : this.openSockets) {
			each.close();
		}
	}

	/**
	 * Binds the address. Retries for about a second, because a server that was just
	 * closed may still hold the address.
	 * @param address the address
	 * @throws IOException if the address stays in use
	 */
	private void bind(InetSocketAddress address) throws IOException {
		for (int attempts = 0; true; attempts++) {
			try {
				this.socket.bind(address, BACKLOG);
				return;
			}
			catch (BindException ex) {
				if (attempts == BIND_ATTEMPTS) {
					throw ex;
				}
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(BIND_RETRY_MILLIS));
			}
		}
	}

	private void accept() {
		while (!this.socket.isClosed()) {
			try {
				Socket accepted = this.socket.accept();
				this.connections.incrementAndGet();
				synchronized (this) {
					this.openSockets.add(accepted);
				}
				Thread.ofVirtual().start(() -> serveConnection(accepted));
			}
			catch (IOException ex) {
				// The server was closed.
				return;
			}
		}
	}

	private void serveConnection(Socket accepted) {
		try (accepted) {
			InputStream input = new BufferedInputStream(accepted.getInputStream());
			boolean keepAlive = true;
			while (keepAlive) {
				Received request = readRequest(input);
				if (request == null) {
					return;
				}
				synchronized (this) {
					this.received.add(request);
				}
				keepAlive = handle(request, accepted);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The proxy may close the connection at any time.
			return;
		}
	}

	private boolean handle(Received request, Socket accepted) throws IOException, InterruptedException {
		OutputStream output = accepted.getOutputStream();
		String expected = request.header("x-expected-instance");
		String idHeader = idHeader(request.header("x-request-id"));
		if (expected != null && !expected.equals(this.id)) {
			writeResponse(output, "421 Misdirected Request", idHeader + "X-Instance-Id: " + this.id + "\r\n", "");
			return true;
		}
		String behaviour = request.path().substring(request.path().lastIndexOf('/') + 1);
		if (behaviour.startsWith("refuse")) {
			writeResponse(output, "503 Service Unavailable", idHeader + "X-Not-Executed: 1\r\n" + this.statements, "");
			return true;
		}
		this.maxRunning.accumulateAndGet(this.running.incrementAndGet(), Math::max);
		try {
			if (behaviour.startsWith(ENDLESS_PREFIX)) {
				writeEndlessly(output, EndlessResponse.of(behaviour.substring(ENDLESS_PREFIX.length()), idHeader,
						responseHeaders(request.header("x-request-id")), responseHeaders("another")));
			}
			if (behaviour.startsWith(STOPS_PREFIX)) {
				writeRaw(output, StoppingResponse.of(behaviour.substring(STOPS_PREFIX.length()),
						responseHeaders(request.header("x-request-id"))));
				return staysOpen(accepted, (int) STALL_MILLIS);
			}
			return respond(request, accepted, output, behaviour);
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	private boolean respond(Received request, Socket accepted, OutputStream output, String behaviour)
			throws IOException, InterruptedException {
		String ownHeaders = responseHeaders(request.header("x-request-id"));
		String body = "from " + this.id;
		if (endsConnection(accepted, output, behaviour, ownHeaders)) {
			return false;
		}
		switch (behaviour) {
			case "fail" -> writeResponse(output, "500 Internal Server Error", ownHeaders, body);
			case "unsigned" -> writeResponse(output, "200 OK", idHeader(request.header("x-request-id")), body);
			case "encoded" -> writeResponse(output, "200 OK", ownHeaders + "Content-Encoding: gzip\r\n", body);
			case "foreign" -> {
				writeResponse(output, "200 OK", responseHeaders("another"), "not yours");
				writeResponse(output, "200 OK", ownHeaders, body);
			}
			case "extra" -> {
				writeResponse(output, "200 OK", ownHeaders, body);
				writeResponse(output, "200 OK", ownHeaders, body);
			}
			case "garbage" -> writeRaw(output, "this is no answer\r\n\r\n");
			case "crash" -> {
				close();
				return false;
			}
			case "long" -> writeResponse(output, "200 OK", ownHeaders, "x".repeat(LONG_BODY_BYTES));
			case "chunked" -> writeRaw(output, "HTTP/1.1 200 OK\r\n" + ownHeaders
					+ "Transfer-Encoding: chunked\r\n\r\n4\r\nfrom\r\n2\r\n t\r\n0\r\n\r\n");
			default -> {
				if (behaviour.equals("stall-" + this.id)) {
					TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
				}
				if (behaviour.startsWith("crash")) {
					TimeUnit.MILLISECONDS.sleep(Long.parseLong(behaviour.substring("crash".length())));
					// Its own connection breaks before the others.
					accepted.close();
					close();
					return false;
				}
				if (behaviour.startsWith(WATCH_PREFIX)
						&& !staysOpen(accepted, Integer.parseInt(behaviour.substring(WATCH_PREFIX.length())))) {
					synchronized (this) {
						this.cutOff.add(request.header("x-request-id"));
					}
					return false;
				}
				if (behaviour.startsWith("bytes")) {
					body = "x".repeat(Integer.parseInt(behaviour.substring("bytes".length())));
				}
				if (behaviour.startsWith("wait")) {
					TimeUnit.MILLISECONDS.sleep(Long.parseLong(behaviour.substring("wait".length())));
				}
				writeResponse(output, "200 OK", ownHeaders, body);
			}
		}
		return true;
	}

	/**
	 * Gives an answer, or none, and ends the connection, if the behaviour says so.
	 * @return true if it does; the connection must be closed then
	 */
	private boolean endsConnection(Socket accepted, OutputStream output, String behaviour, String ownHeaders)
			throws IOException, InterruptedException {
		String body = "from " + this.id;
		switch (behaviour) {
			case "lost" -> {
				// No answer.
			}
			case "truncated" ->
				writeRaw(output, "HTTP/1.1 200 OK\r\n" + ownHeaders + "Content-Length: 100\r\n\r\nfrom");
			case "unframed" -> writeRaw(output, "HTTP/1.1 200 OK\r\n" + ownHeaders + "\r\n" + body);
			case "unframed-reset" -> {
				writeRaw(output, "HTTP/1.1 200 OK\r\n" + ownHeaders + "\r\n" + body);
				TimeUnit.MILLISECONDS.sleep(50);
				accepted.setSoLinger(true, 0);
			}
			case "closing" -> writeResponse(output, "200 OK", ownHeaders + CLOSE, body);
			case "unannounced" -> writeResponse(output, "200 OK", ownHeaders, body);
			case "closing-reset" -> {
				writeResponse(output, "200 OK", ownHeaders + CLOSE, body);
				accepted.setSoLinger(true, 0);
			}
			case "huge-closing" -> writeResponse(output, "200 OK", ownHeaders + CLOSE, "x".repeat(HUGE_BODY_BYTES));
			case "huge-unframed" ->
				writeRaw(output, "HTTP/1.1 200 OK\r\n" + ownHeaders + "\r\n" + "x".repeat(HUGE_BODY_BYTES));
			case "last" -> {
				writeResponse(output, "200 OK", ownHeaders + CLOSE, body);
				close();
			}
			default -> {
				return false;
			}
		}
		return true;
	}

	/**
	 * Waits for a time, or until the other side ends the connection. It sends nothing
	 * before it has its answer.
	 */
	private static boolean staysOpen(Socket accepted, int millis) throws IOException {
		accepted.setSoTimeout(millis);
		try {
			return accepted.getInputStream().read() >= 0;
		}
		catch (SocketTimeoutException ex) {
			accepted.setSoTimeout(0);
			return true;
		}
		catch (SocketException ex) {
			return false;
		}
	}

	private static String idHeader(String requestId) {
		return "X-Request-Id: " + requestId + "\r\n";
	}

	private String responseHeaders(String requestId) {
		return idHeader(requestId) + "X-Response-Signature: signed\r\n" + this.statements;
	}

	private static void writeResponse(OutputStream output, String status, String headers, String body)
			throws IOException {
		writeRaw(output,
				"HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
	}

	private static void writeRaw(OutputStream output, String text) throws IOException {
		output.write(text.getBytes(StandardCharsets.US_ASCII));
		output.flush();
	}

	/**
	 * Writes until the reader closes the connection.
	 * @param output stream of the connection
	 * @param response what to write
	 * @throws IOException when the reader has closed the connection
	 */
	private void writeEndlessly(OutputStream output, EndlessResponse response) throws IOException {
		writeRaw(output, response.start());
		String block = response.repeated().repeat(ENDLESS_BLOCK_BYTES / response.repeated().length());
		while (true) {
			writeRaw(output, block);
			this.endlessBytes.addAndGet(block.length());
		}
	}

	private static Received readRequest(InputStream input) throws IOException {
		String line = readLine(input);
		if (line == null) {
			return null;
		}
		String[] words = line.split(" ");
		Map<String, String> headers = readHeaders(input);
		return new Received(words[0], words[1], headers, readBody(input, headers), now());
	}

	/**
	 * Returns the time by which arrivals are recorded.
	 * @return monotonic time in milliseconds
	 */
	public static long now() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	private static String readBody(InputStream input, Map<String, String> headers) throws IOException {
		if (headers.containsKey("content-length")) {
			int length = Integer.parseInt(headers.get("content-length"));
			return new String(input.readNBytes(length), StandardCharsets.US_ASCII);
		}
		if (!headers.containsKey("transfer-encoding")) {
			return "";
		}
		StringBuilder body = new StringBuilder();
		int size = Integer.parseInt(readLine(input), 16);
		while (size > 0) {
			body.append(new String(input.readNBytes(size), StandardCharsets.US_ASCII));
			readLine(input);
			size = Integer.parseInt(readLine(input), 16);
		}
		readLine(input);
		return body.toString();
	}

	/**
	 * Reads the header fields of a message up to and including the empty line.
	 * @param input stream positioned after the start line
	 * @return the fields by name in lower case
	 * @throws IOException if the connection fails
	 */
	static Map<String, String> readHeaders(InputStream input) throws IOException {
		Map<String, String> headers = new TreeMap<>();
		for (String field = readLine(input); field != null && !field.isEmpty(); field = readLine(input)) {
			int colon = field.indexOf(':');
			headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
		}
		return headers;
	}

	static String readLine(InputStream input) throws IOException {
		StringBuilder line = new StringBuilder();
		int next = input.read();
		if (next < 0) {
			return null;
		}
		while (next >= 0 && next != '\n') {
			if (next != '\r') {
				line.append((char) next);
			}
			next = input.read();
		}
		return line.toString();
	}

	/**
	 * A request as received.
	 *
	 * @param method its method
	 * @param path its path with the query
	 * @param headers header fields by name in lower case
	 * @param body its body; empty when it has none
	 * @param atMillis monotonic time of its arrival, see {@link #now()}
	 */
	public record Received(String method, String path, Map<String, String> headers, String body, long atMillis) {

		/**
		 * Returns a header field.
		 * @param name its name in lower case
		 * @return its value, or null when absent
		 */
		public String header(String name) {
			return this.headers.get(name);
		}

	}

}
