package org.eelgrasspitch.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.eelgrasspitch.fleet.Distribution;
import org.eelgrasspitch.fleet.Peer;
import org.eelgrasspitch.misc.Closer;
import org.eelgrasspitch.misc.Problem;
import org.eelgrasspitch.request.CallMessage;
import org.eelgrasspitch.request.Guards;
import org.eelgrasspitch.request.Ticket;
import org.eelgrasspitch.wire.ConnectionListener;
import org.eelgrasspitch.wire.Frame;
import org.eelgrasspitch.wire.PeerConnection;
import org.eelgrasspitch.wire.PeerTransport;
import org.eelgrasspitch.wire.Purpose;
import org.eelgrasspitch.wire.TrafficListener;

/**
 * A node in this process with a platform and a target, for tests of its stop. The other
 * VMs of its list, three of service {@code far} and perhaps one of service {@code desk}
 * like its own, have nodes that accept connections and never say anything.
 */
final class StoppingNode implements AutoCloseable {

	/** Operation whose target answers after {@link #targetMillis}. */
	static final String READ = "/desk/read";

	/** Operation that must not run twice, of a service whose nodes are silent. */
	static final String FAR_PAY = "/far/pay";

	/** Path at which tickets for {@link #FAR_PAY} are issued. */
	static final String FAR_TICKETS = "/-/tickets/far/pay";

	private static final String TEXT = """
			{"mesh": "test", "failureDomains": ["a"], "services": [
			 {"name": "desk", "slots": 1, "connections": 100, "operations": [
			  {"name": "read", "kind": "idempotent", "deadlineMillis": 20000},
			  {"name": "pay", "kind": "at-most-once", "priority": "transaction", "deadlineMillis": 20000,
			   "lateAfterMillis": 19000}]},
			 {"name": "far", "slots": 1, "connections": 100, "operations": [
			  {"name": "pay", "kind": "at-most-once", "priority": "transaction", "deadlineMillis": 20000,
			   "lateAfterMillis": 19000}]}]}
			""";

	private static final int OK = 200;

	private static final int NO_CONTENT = 204;

	private static final int START_MILLIS = 10_000;

	private static final int READ_TIMEOUT_MILLIS = 15_000;

	/** Time in which the node produces a response that its target has at once. */
	private static final int PRODUCE_MILLIS = 100;

	private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

	private static final int RECEIVE_BUFFER_BYTES = 4_096;

	private static final TrafficListener NO_TRAFFIC = new TrafficListener() {

		@Override
		public void sent(Purpose purpose, int bytes) {
			// Not counted.
		}

		@Override
		public void received(Purpose purpose, int bytes) {
			// Not counted.
		}

	};

	private final Closer closer = new Closer();

	private final InetSocketAddress callers = freeAddress();

	private final InetSocketAddress operators = freeAddress();

	private final InetSocketAddress peers = freeAddress();

	/** Whether the list has a further VM of the node's own service. */
	private final boolean twoDesks;

	private final InetSocketAddress silent;

	private final Node node;

	/** How long the target takes for a request. */
	volatile long targetMillis;

	/** True if the target closes the connection instead of answering. */
	volatile boolean targetHangsUp;

	/** Identifiers of the requests that have reached the target, in their order. */
	private final List<String> received = new CopyOnWriteArrayList<>();

	/** What the target answers. */
	volatile byte[] answer = "answer".getBytes(StandardCharsets.US_ASCII);

	StoppingNode(int drainMillis, boolean twoDesks) throws Exception {
		this.twoDesks = twoDesks;
		ServerSocket unanswered = this.closer.register(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
		this.silent = (InetSocketAddress) unanswered.getLocalSocketAddress();
		HttpServer platform = serve("/v1", this::document);
		HttpServer target = serve("/", this::run);
		this.node = this.closer
			.register(Node.start(new NodeSettings("vm-1", "a", "desk", this.peers, this.peers, this.callers,
					this.operators, target.getAddress(), "http://127.0.0.1:" + platform.getAddress().getPort(),
					List.of(), Distribution.POLL, 200, 100, drainMillis, 1_000, 0, Guards.ALL)));
		long giveUpAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
		while (!exchange(this.operators, "/status").contains("\"serving\"")) {
			if (System.nanoTime() > giveUpAt) {
				throw new IllegalStateException("the node does not serve");
			}
			TimeUnit.MILLISECONDS.sleep(50);
		}
	}

	/**
	 * Asks the node to stop.
	 * @return completed when it has
	 */
	CompletableFuture<Void> leave() {
		return CompletableFuture.runAsync(this.node::leave, Executors.newVirtualThreadPerTaskExecutor());
	}

	/**
	 * Sends a caller's request.
	 * @param method the HTTP method
	 * @param path the path
	 * @param id identifier of the request
	 * @param headers further header lines
	 * @return the response, or what arrived of it before the connection ended
	 */
	CompletableFuture<String> request(String method, String path, String id, String... headers) {
		return CompletableFuture.supplyAsync(() -> {
			try (Socket socket = connect(this.callers)) {
				List<String> lines = new ArrayList<>(List.of("Request-Id: " + id));
				lines.addAll(List.of(headers));
				write(socket, method, path, String.join("\r\n", lines));
				return read(socket, StoppingNode::isWhole);
			}
			catch (IOException ex) {
				return "";
			}
		}, Executors.newVirtualThreadPerTaskExecutor());
	}

	List<String> received() {
		return this.received;
	}

	/**
	 * Sends a caller's request and closes the connection after a time.
	 * @param path the path
	 * @param millis the time in milliseconds
	 */
	void abandonedRequest(String path, long millis) throws IOException, InterruptedException {
		try (Socket socket = connect(this.callers)) {
			write(socket, "GET", path, "Request-Id: abandoned");
			TimeUnit.MILLISECONDS.sleep(millis);
		}
	}

	/**
	 * Sends a caller's requests on one connection, the next one after the response to the
	 * one before has been produced, and begins to read the responses after a time.
	 * @param count number of the requests
	 * @param pauseMillis the time in milliseconds
	 * @return number of bytes that the node sends until it closes the connection
	 */
	CompletableFuture<Long> slowReads(int count, long pauseMillis) {
		return CompletableFuture.supplyAsync(() -> {
			try (Socket socket = connect(this.callers)) {
				for (int number = 1; number <= count; number++) {
					write(socket, "GET", READ, "Request-Id: slow-" + number);
					TimeUnit.MILLISECONDS.sleep(PRODUCE_MILLIS);
				}
				TimeUnit.MILLISECONDS.sleep(pauseMillis);
				return (long) read(socket, (received) -> false).length();
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}, Executors.newVirtualThreadPerTaskExecutor());
	}

	/**
	 * Sends a request from another node.
	 * @param message the request
	 * @return the reply, or null if the node closes the connection without one
	 */
	CompletableFuture<CallMessage> call(CallMessage message) {
		CompletableFuture<CallMessage> reply = new CompletableFuture<>();
		PeerTransport transport = this.closer.register(
				new PeerTransport(new Peer("vm-9", "a", this.silent, 1), 1, new ReplyListener(reply), NO_TRAFFIC));
		transport.dial(this.peers, null, Purpose.CALL, (connection) -> connection.send(new Frame.Call(message)),
				() -> reply.complete(null));
		return reply;
	}

	/**
	 * Sends calls on one peer connection, which reads nothing until a pause after the
	 * last has ended.
	 * @param messages the calls, sent in turn
	 * @param pauseMillis the pause, in milliseconds
	 * @return how many replies came before the connection ended
	 */
	CompletableFuture<Integer> slowCalls(List<CallMessage> messages, long pauseMillis) {
		CompletableFuture<Integer> count = new CompletableFuture<>();
		PeerTransport transport = this.closer.register(new PeerTransport(new Peer("vm-9", "a", this.silent, 1), 1,
				new CountingListener(messages.size(), new AtomicInteger(), count), NO_TRAFFIC));
		transport.dial(this.peers, null, Purpose.CALL, (connection) -> {
			for (CallMessage message : messages) {
				connection.send(new Frame.Call(message));
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PRODUCE_MILLIS));
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMillis));
		}, () -> count.complete(-1));
		return count;
	}

	/**
	 * Returns a ticket of a node that is silent.
	 * @return the ticket in encoded form
	 */
	String farTicket() {
		return new Ticket("vm-3", this.silent, 1, Long.MAX_VALUE, 1).encoded();
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private static String exchange(InetSocketAddress address, String path) {
		try (Socket socket = connect(address)) {
			write(socket, "GET", path, "Request-Id: status");
			return read(socket, StoppingNode::isWhole);
		}
		catch (IOException ex) {
			return "";
		}
	}

	private static Socket connect(InetSocketAddress address) throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		socket.connect(address);
		return socket;
	}

	private static void write(Socket socket, String method, String path, String headers) throws IOException {
		socket.getOutputStream()
			.write("%s %s HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n%s\r\n\r\n".formatted(method, path, headers)
				.getBytes(StandardCharsets.US_ASCII));
	}

	/**
	 * Reads until a condition holds or the connection ends; also returns what arrived
	 * before a failure.
	 */
	private static String read(Socket socket, Predicate<ByteArrayOutputStream> isComplete) {
		ByteArrayOutputStream received = new ByteArrayOutputStream();
		byte[] block = new byte[RECEIVE_BUFFER_BYTES];
		try {
			int length = socket.getInputStream().read(block);
			while (length > 0) {
				received.write(block, 0, length);
				length = isComplete.test(received) ? 0 : socket.getInputStream().read(block);
			}
		}
		catch (IOException ex) {
			// The connection was reset or is silent.
		}
		return received.toString(StandardCharsets.US_ASCII);
	}

	private static boolean isWhole(ByteArrayOutputStream received) {
		String text = received.toString(StandardCharsets.US_ASCII);
		int end = text.indexOf("\r\n\r\n") + "\r\n\r\n".length();
		Matcher length = CONTENT_LENGTH.matcher(text);
		return text.contains("\r\n\r\n") && length.find() && text.length() >= end + Integer.parseInt(length.group(1));
	}

	private HttpServer serve(String path, Handler handler) throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
		server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
		server.createContext(path, (exchange) -> {
			try (exchange) {
				handler.handle(exchange);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		server.start();
		this.closer.register(() -> server.stop(0));
		return server;
	}

	private void document(HttpExchange exchange) throws IOException, InterruptedException {
		exchange.getResponseHeaders().add("Revision", "1");
		String query = exchange.getRequestURI().getQuery();
		if (!query.contains("after=0")) {
			TimeUnit.MILLISECONDS.sleep(200);
			exchange.sendResponseHeaders(NO_CONTENT, -1);
			return;
		}
		String content = exchange.getRequestURI().getPath().endsWith("text") ? TEXT : vms();
		respond(exchange, content.getBytes(StandardCharsets.US_ASCII));
	}

	private String vms() {
		List<String> lines = new ArrayList<>();
		lines.add(vm(1, "desk", this.peers));
		if (this.twoDesks) {
			lines.add(vm(2, "desk", this.silent));
		}
		for (int number = 3; number <= 5; number++) {
			lines.add(vm(number, "far", this.silent));
		}
		return "{\"vms\": [\n" + String.join(",\n", lines) + "\n]}\n";
	}

	private static String vm(int number, String service, InetSocketAddress address) {
		return """
				{"name": "vm-%d", "failureDomain": "a", "service": "%s", "address": "127.0.0.1:%d", "state": "live"}"""
			.formatted(number, service, address.getPort());
	}

	private void run(HttpExchange exchange) throws IOException, InterruptedException {
		if (exchange.getRequestURI().getPath().equals("/health")) {
			respond(exchange, "serving".getBytes(StandardCharsets.US_ASCII));
			return;
		}
		this.received.add(String.valueOf(exchange.getRequestHeaders().getFirst("Request-Id")));
		TimeUnit.MILLISECONDS.sleep(this.targetMillis);
		if (!this.targetHangsUp) {
			respond(exchange, this.answer);
		}
	}

	private static void respond(HttpExchange exchange, byte[] content) throws IOException {
		exchange.sendResponseHeaders(OK, content.length);
		exchange.getResponseBody().write(content);
	}

	private static InetSocketAddress freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return (InetSocketAddress) socket.getLocalSocketAddress();
		}
	}

	/**
	 * Responds to a request over HTTP.
	 */
	private interface Handler {

		void handle(HttpExchange exchange) throws IOException, InterruptedException;

	}

	/**
	 * Passes on the first message.
	 *
	 * @param reply completed with the message, or with null when the connection ends
	 */
	private record ReplyListener(CompletableFuture<CallMessage> reply) implements ConnectionListener {

		@Override
		public void opened(PeerConnection connection) {
			// The request is sent by the dialling side.
		}

		@Override
		public void received(PeerConnection connection, Frame frame) {
			if (frame instanceof Frame.Call call) {
				this.reply.complete(call.message());
			}
		}

		@Override
		public void closed(PeerConnection connection) {
			this.reply.complete(null);
		}

		@Override
		public void malformed(String remote, Problem problem) {
			this.reply.completeExceptionally(new IllegalStateException(problem.message()));
		}

	}

	private record CountingListener(int expected, AtomicInteger received,
			CompletableFuture<Integer> count) implements ConnectionListener {

		@Override
		public void opened(PeerConnection connection) {
			// The requests are sent by the dialling side.
		}

		@Override
		public void received(PeerConnection connection, Frame frame) {
			if (this.received.incrementAndGet() == this.expected) {
				this.count.complete(this.expected);
			}
		}

		@Override
		public void closed(PeerConnection connection) {
			this.count.complete(this.received.get());
		}

		@Override
		public void malformed(String remote, Problem problem) {
			this.count.completeExceptionally(new IllegalStateException(problem.message()));
		}

	}

}
