package org.eelgrasspitch.testkit.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;

import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.soak.Evidence.Received;
import org.eelgrasspitch.testkit.soak.Evidence.Run;
import org.eelgrasspitch.testkit.soak.HttpReader.Content;

/**
 * A target that fails, refuses, is slow, breaks off and answers twice. Each arrival of a
 * request has a signature and a body of its own.
 */
final class ErraticTarget implements AutoCloseable {

	private static final int BACKLOG = 256;

	private static final int MAX_IDLE_MILLIS = 40;

	private static final int MAX_LATER_REQUESTS = 4;

	private final String name;

	private final String service;

	private final Evidence evidence;

	private final SoakOptions options;

	private final Random random;

	private final BiPredicate<String, Integer> nestedCall;

	private final ServerSocket socket;

	private final AtomicInteger connections = new AtomicInteger();

	private volatile String id;

	private volatile Plan.Mood mood = Plan.Mood.CALM;

	/** Whether this incarnation has said that it leaves. */
	private volatile boolean leaving;

	private int incarnation;

	/**
	 * Starts a target.
	 * @param name name of its VM
	 * @param service its service
	 * @param address address to listen on
	 * @param evidence where arrivals are recorded
	 * @param options options of the soak
	 * @param random source of its choices
	 * @param nestedCall makes a call with an identifier, with the number of the run, and
	 * returns whether it succeeded
	 * @throws IOException if the address cannot be bound
	 */
	ErraticTarget(String name, String service, InetSocketAddress address, Evidence evidence, SoakOptions options,
			Random random, BiPredicate<String, Integer> nestedCall) throws IOException {
		this.name = name;
		this.service = service;
		this.evidence = evidence;
		this.options = options;
		this.random = random;
		this.nestedCall = nestedCall;
		this.socket = new ServerSocket();
		this.socket.setReuseAddress(true);
		this.socket.bind(address, BACKLOG);
		renew();
		Thread.ofVirtual().start(this::accept);
	}

	/**
	 * Begins the next incarnation, with another identifier.
	 */
	void renew() {
		this.id = "i-" + this.name + "-" + this.incarnation++;
		this.leaving = false;
	}

	String id() {
		return this.id;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	void setMood(Plan.Mood mood) {
		this.mood = mood;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	private void accept() {
		try {
			while (true) {
				Socket accepted = this.socket.accept();
				Thread.ofVirtual().start(() -> new Connection(accepted).serve());
			}
		}
		catch (IOException ex) {
			if (!this.socket.isClosed()) {
				System.err.println(this.name + " accepts no more: " + ex);
			}
		}
	}

	private synchronized Plan plan(boolean mayNest) {
		return Plan.draw(this.random, this.mood, this.options, mayNest);
	}

	private synchronized int choice(int bound) {
		return this.random.nextInt(bound);
	}

	/**
	 * Answers that are still to be written once more.
	 *
	 * @param run the run that they belong to
	 * @param copy when they are written
	 * @param bytes the bytes
	 */
	private record Pending(Run run, Plan.Copy copy, byte[] bytes) {

		private static final int SHOWN_BYTES = 160;

		@Override
		public String toString() {
			int length = Math.min(SHOWN_BYTES, this.bytes.length);
			String start = new String(this.bytes, 0, length, StandardCharsets.US_ASCII);
			return this.copy + " of " + this.bytes.length + " bytes '" + start.replace("\r\n", "|") + "'";
		}

	}

	/**
	 * A connection, with one request at a time.
	 */
	private final class Connection {

		private final Socket accepted;

		private final int number = ErraticTarget.this.connections.incrementAndGet();

		/** Guarded by this. */
		private final List<Pending> pending = new ArrayList<>();

		/**
		 * Whether the last answer is a part only. What follows would complete it, and no
		 * reader could tell. Guarded by this.
		 */
		private boolean partWritten;

		Connection(Socket accepted) {
			this.accepted = accepted;
		}

		void serve() {
			try (this.accepted) {
				this.accepted.setTcpNoDelay(true);
				HttpReader reader = new HttpReader(this.accepted.getInputStream());
				boolean open = true;
				while (open) {
					String[] words = reader.line().split(" ");
					Map<String, String> fields = reader.fields();
					Received received = new Received(words[0], words[1], reader.body(fields, false));
					open = received.path().equals("/health") ? health() : answer(received, fields);
				}
			}
			catch (EOFException | SocketException ex) {
				// The node has closed the connection, or the plan has.
			}
			catch (IOException ex) {
				System.err.println(ErraticTarget.this.name + " cannot serve a connection: " + ex);
			}
		}

		private boolean health() throws IOException {
			write(("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id() + "\r\nContent-Length: 0\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
			return true;
		}

		private boolean answer(Received received, Map<String, String> fields) throws IOException {
			String requestId = fields.getOrDefault("x-request-id", "");
			Run run = ErraticTarget.this.evidence.run(requestId, id(), ErraticTarget.this.service, received);
			if (!id().equals(fields.getOrDefault("x-expected-instance", id()))) {
				run.status = 421;
				write(("HTTP/1.1 421 Other\r\nX-Not-Executed: 1\r\nX-Request-Id: " + requestId
						+ "\r\nContent-Length: 0\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
				return true;
			}
			boolean mayNest = !requestId.contains(".") && !received.path().startsWith(Routes.NESTED);
			Plan plan = plan(mayNest);
			run.ran = plan.kind() != Plan.Kind.REFUSAL;
			run.plan = "connection " + this.number + " " + plan;
			work(run, plan);
			return respond(run, plan, received.method().equals("HEAD"));
		}

		private void work(Run run, Plan plan) throws IOException {
			Cluster.sleep(plan.workMillis() / 2);
			writeLateCopies(run);
			Cluster.sleep(plan.workMillis() - plan.workMillis() / 2);
			boolean succeeds = plan.kind() == Plan.Kind.SUCCESS;
			int runs = ErraticTarget.this.evidence.runsOf(run.id).size();
			for (int call = 1; call <= plan.nestedCalls(); call++) {
				succeeds &= ErraticTarget.this.nestedCall.test(run.id + "." + call, runs);
			}
			run.status = switch (plan.kind()) {
				case SUCCESS -> (succeeds) ? 200 : 500;
				case FAILURE -> 500;
				case REFUSAL -> 503;
			};
		}

		private boolean respond(Run run, Plan plan, boolean isHead) throws IOException {
			byte[] body = Evidence.body(run.signature, plan.bodyBytes());
			run.body = Content.of(body);
			byte[] answer = answerBytes(run, plan, body, isHead);
			ErraticTarget.this.leaving |= plan.isLeaving();
			switch (plan.trouble()) {
				case NONE -> {
					return write(run, plan, answer);
				}
				case SILENT_END -> run.written(now(), "nothing");
				case BREAK_OFF -> {
					writePart(answer);
					run.written(now(), "broken off");
					Cluster.sleep(choice(MAX_IDLE_MILLIS));
					this.accepted.setSoLinger(true, 0);
				}
				case STOP -> {
					writePart(answer);
					run.written(now(), "stopped");
					// Ends when the node closes the connection.
					this.accepted.getInputStream().transferTo(OutputStream.nullOutputStream());
				}
			}
			return false;
		}

		private synchronized void writePart(byte[] answer) throws IOException {
			this.partWritten = true;
			write(part(answer, choice(answer.length)));
		}

		private boolean write(Run run, Plan plan, byte[] answer) throws IOException {
			byte[] cut = part(answer, 1 + choice(headLength(answer) - 1));
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			synchronized (this) {
				for (Pending earlier : take(Plan.Copy.BEFORE_NEXT, Plan.Copy.CUT_NEXT)) {
					bytes.writeBytes(earlier.bytes);
					earlier.run.written(now(), earlier.copy + " before " + run.signature);
					run.written(now(), "behind " + earlier);
				}
				bytes.writeBytes(answer);
				run.answered = true;
				run.written(now(), "answer");
				switch (plan.copy()) {
					case TOGETHER -> bytes.writeBytes(answer);
					case CUT_CLOSE -> bytes.writeBytes(cut);
					case CUT_NEXT -> this.pending.add(new Pending(run, plan.copy(), cut));
					case NEXT, BEFORE_NEXT, LATER -> this.pending.add(new Pending(run, plan.copy(), answer));
					case NONE, IDLE, CLOSE -> {
					}
				}
				write(bytes.toByteArray());
			}
			return switch (plan.copy()) {
				case CUT_CLOSE -> false;
				case CLOSE -> {
					writeCopy(run, plan.copy(), answer);
					yield false;
				}
				case IDLE -> {
					Thread.ofVirtual().start(() -> writeIdleCopy(run, answer));
					yield staysOpen(plan);
				}
				default -> staysOpen(plan);
			};
		}

		private boolean staysOpen(Plan plan) {
			return !plan.isLeaving()
					&& (plan.framing() == Plan.Framing.LENGTH || plan.framing() == Plan.Framing.CHUNKS);
		}

		private void writeLateCopies(Run current) throws IOException {
			List<Pending> due = new ArrayList<>();
			synchronized (this) {
				due.addAll(take(Plan.Copy.NEXT));
				if (choice(MAX_LATER_REQUESTS) == 0) {
					due.addAll(take(Plan.Copy.LATER));
				}
				for (Pending earlier : due) {
					write(earlier.bytes);
					earlier.run.written(now(), earlier.copy + " during " + current.signature);
					current.written(now(), "after " + earlier);
				}
			}
		}

		private List<Pending> take(Plan.Copy... kinds) {
			List<Pending> taken = this.pending.stream().filter((entry) -> List.of(kinds).contains(entry.copy)).toList();
			this.pending.removeAll(taken);
			return taken;
		}

		private void writeIdleCopy(Run run, byte[] answer) {
			try {
				writeCopy(run, Plan.Copy.IDLE, answer);
			}
			catch (IOException ex) {
				run.written(now(), "no copy, the connection has ended");
			}
		}

		private void writeCopy(Run run, Plan.Copy copy, byte[] answer) throws IOException {
			Cluster.sleep(choice(MAX_IDLE_MILLIS));
			synchronized (this) {
				if (this.partWritten) {
					run.written(now(), "no copy behind a part of an answer");
					return;
				}
				write(answer);
				run.written(now(), copy.toString());
			}
		}

		private synchronized void write(byte[] bytes) throws IOException {
			this.accepted.getOutputStream().write(bytes);
			this.accepted.getOutputStream().flush();
		}

		private long now() {
			return ErraticTarget.this.evidence.now();
		}

		private byte[] answerBytes(Run run, Plan plan, byte[] body, boolean isHead) {
			List<String> lines = new ArrayList<>();
			lines.add("X-Request-Id: " + run.id + "\r\n");
			if (run.ran) {
				lines.add("X-Response-Signature: " + run.signature + "\r\n");
			}
			else {
				lines.add("X-Not-Executed: 1\r\n");
			}
			if (choice(2) == 0) {
				lines.add(choice(lines.size()), "Content-Type: text/plain\r\n");
			}
			Plan.Framing framing = plan.framing();
			switch (framing) {
				case LENGTH, LENGTH_CLOSE -> lines.add("Content-Length: " + body.length + "\r\n");
				case CHUNKS -> lines.add("Transfer-Encoding: chunked\r\n");
				case CLOSE -> {
				}
			}
			if (framing == Plan.Framing.LENGTH_CLOSE || plan.isLeaving()) {
				lines.add("Connection: close\r\n");
			}
			String head = "HTTP/1.1 " + run.status + " Status\r\n" + String.join("", lines) + plan.statement() + "\r\n";
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			bytes.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
			if (!isHead) {
				writeBody(bytes, body, framing == Plan.Framing.CHUNKS);
			}
			return bytes.toByteArray();
		}

		private void writeBody(ByteArrayOutputStream bytes, byte[] body, boolean chunked) {
			if (!chunked) {
				bytes.writeBytes(body);
				return;
			}
			if (body.length > 0) {
				bytes.writeBytes((Integer.toHexString(body.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
				bytes.writeBytes(body);
				bytes.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
			}
			bytes.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		}

		private static int headLength(byte[] answer) {
			return new String(answer, StandardCharsets.US_ASCII).indexOf("\r\n\r\n") + 4;
		}

		private static byte[] part(byte[] bytes, int length) {
			return Arrays.copyOf(bytes, length);
		}

	}

}
