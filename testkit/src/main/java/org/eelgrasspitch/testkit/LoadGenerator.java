package org.eelgrasspitch.testkit;

import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * Callers that send requests to randomly chosen nodes, one thread for each flow and with
 * a pause after each request. An at-most-once request without a final outcome is resent
 * up to four times, with the same ticket and body, to a random node. Every successful
 * response is checked to be complete and to belong to its request.
 */
public final class LoadGenerator implements AutoCloseable {

	private static final int MAX_RESENDS = 4;

	private static final int OK = 200;

	private static final int ACCEPTED = 202;

	private static final int OTHER_ERROR = 599;

	/** Maximum length of the part of a body that a violation quotes. */
	private static final int MAX_REPORTED_BODY_CHARS = 300;

	private final HttpCaller caller;

	private final List<InetSocketAddress> nodes;

	private final List<Flow> flows;

	private final List<Thread> threads = new ArrayList<>();

	private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();

	private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();

	/** Identifiers of requests whose last response said that they did not run. */
	private final ConcurrentLinkedQueue<String> refused = new ConcurrentLinkedQueue<>();

	/** Identifiers of at-most-once requests that got status 200. */
	private final ConcurrentLinkedQueue<String> paid = new ConcurrentLinkedQueue<>();

	/** Returns whether a request has started at any target. */
	private volatile Predicate<String> started = (id) -> false;

	private volatile boolean stopping;

	/**
	 * Creates a generator.
	 * @param nodes the nodes' addresses for callers
	 * @param flows the flows to run
	 * @param timeoutMillis timeout of one attempt, in milliseconds
	 */
	public LoadGenerator(List<InetSocketAddress> nodes, List<Flow> flows, long timeoutMillis) {
		this.caller = new HttpCaller(timeoutMillis);
		this.nodes = List.copyOf(nodes);
		this.flows = List.copyOf(flows);
	}

	/**
	 * Starts one thread for each flow.
	 * @param seed seed for the choice of nodes
	 */
	public void start(long seed) {
		for (int index = 0; index < this.flows.size(); index++) {
			Flow flow = this.flows.get(index);
			SplittableRandom random = new SplittableRandom(seed + index);
			Thread thread = new Thread(() -> run(flow, random), "load-" + index);
			thread.setDaemon(true);
			this.threads.add(thread);
			thread.start();
		}
	}

	/**
	 * Enables a check of every response with {@code Request-Ran: no}, also of those that
	 * are followed by a resend, when it arrives.
	 * @param oracle returns whether a request has started at any target
	 */
	public void checkRefusals(Predicate<String> oracle) {
		this.started = oracle;
	}

	/**
	 * Stops sending and waits until requests in flight have ended.
	 */
	public void stop() {
		this.stopping = true;
		for (Thread thread : this.threads) {
			try {
				thread.join();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	/**
	 * Counts requests by their outcome.
	 * @return number of requests by service, operation and last response, in alphabetical
	 * order
	 */
	public Map<String, Integer> outcomes() {
		Map<String, Integer> copy = new TreeMap<>();
		this.outcomes.forEach((name, count) -> copy.put(name, count.get()));
		return copy;
	}

	/**
	 * Returns the responses that failed a check.
	 * @return one line for each, beginning with the request's identifier; empty when all
	 * passed
	 */
	public List<String> violations() {
		return List.copyOf(this.violations);
	}

	/**
	 * Returns requests whose last response said that they did not run.
	 * @return their identifiers
	 */
	public List<String> refused() {
		return List.copyOf(this.refused);
	}

	/**
	 * Returns at-most-once requests that got status 200.
	 * @return their identifiers
	 */
	public List<String> paid() {
		return List.copyOf(this.paid);
	}

	@Override
	public void close() {
		stop();
		this.caller.close();
	}

	private void run(Flow flow, SplittableRandom random) {
		int number = 0;
		while (!this.stopping) {
			String id = flow.service() + "-" + flow.operation() + "-" + Thread.currentThread().getName() + "-"
					+ number++;
			if (flow.atMostOnce()) {
				sendAtMostOnce(flow, id, random);
			}
			else {
				sendIdempotent(flow, id, random);
			}
			Cluster.sleep(flow.pauseMillis());
		}
	}

	private void sendIdempotent(Flow flow, String id, SplittableRandom random) {
		HttpCaller.CallSpec call = HttpCaller.CallSpec.of(flow.service(), flow.operation(), id);
		Optional<HttpCaller.CallResponse> answer = this.caller.call(anyNode(random), call);
		answer.ifPresent((response) -> checkRefusal(id, response));
		record(flow, id, answer);
	}

	private void checkRefusal(String id, HttpCaller.CallResponse response) {
		if (response.ran().orElse("").equals("no") && this.started.test(id)) {
			addViolation(id, "a refused request that no target started", response);
		}
	}

	private void sendAtMostOnce(Flow flow, String id, SplittableRandom random) {
		List<String> tickets = this.caller.tickets(anyNode(random), flow.service(), flow.operation(), 1);
		if (tickets.isEmpty()) {
			count(flow, "no ticket");
			return;
		}
		byte[] body = ("payment " + id).getBytes(StandardCharsets.UTF_8);
		HttpCaller.CallSpec call = new HttpCaller.CallSpec(flow.service(), flow.operation(), id,
				Optional.of(tickets.get(0)), 1, body, false);
		Optional<HttpCaller.CallResponse> answer = Optional.empty();
		for (int attempt = 0; attempt <= MAX_RESENDS && !isFinal(answer); attempt++) {
			answer = this.caller.call(anyNode(random), call);
			answer.ifPresent((response) -> checkRefusal(id, response));
			call = call.nextAttempt();
		}
		record(flow, id, answer);
	}

	private static boolean isFinal(Optional<HttpCaller.CallResponse> answer) {
		return answer.isPresent() && answer.get().status() != ACCEPTED && !answer.get().ran().orElse("").equals("no");
	}

	private void record(Flow flow, String id, Optional<HttpCaller.CallResponse> answer) {
		if (answer.isEmpty()) {
			count(flow, "no answer");
			return;
		}
		HttpCaller.CallResponse response = answer.get();
		String ran = response.ran().orElse("");
		count(flow, (response.status() == OK) ? "answered" : "status " + response.status() + " ran " + ran);
		if (response.status() == OK) {
			check(id, response);
			if (flow.atMostOnce()) {
				this.paid.add(id);
			}
		}
		else if (ran.equals("no")) {
			this.refused.add(id);
		}
		else if (response.status() >= OTHER_ERROR) {
			addViolation(id, "a status below " + OTHER_ERROR, response);
		}
	}

	private void check(String id, HttpCaller.CallResponse response) {
		Optional<TargetStandIn.Answer> answer = parse(response.body());
		if (answer.isEmpty()) {
			addViolation(id, "a complete JSON body", response);
			return;
		}
		if (!id.equals(answer.get().requestId()) || !response.requestId().orElse("").equals(id)) {
			addViolation(id, "the response to this request", response);
		}
		if (response.version().isEmpty()) {
			addViolation(id, "a Config-Version header", response);
		}
	}

	/**
	 * Records a response that breaks a promise.
	 * @param id identifier of the request
	 * @param expected what a correct response would be
	 * @param response the response received
	 */
	private void addViolation(String id, String expected, HttpCaller.CallResponse response) {
		String body = new String(response.body(), StandardCharsets.UTF_8);
		this.violations.add(
				"request " + id + ": expected " + expected + ", received status " + response.status() + ", Request-Ran "
						+ response.ran().orElse("absent") + ", Request-Id " + response.requestId().orElse("absent")
						+ ", started by a target: " + this.started.test(id) + ", body of " + response.body().length
						+ " bytes: " + body.substring(0, Math.min(MAX_REPORTED_BODY_CHARS, body.length())));
	}

	private static Optional<TargetStandIn.Answer> parse(byte[] body) {
		try {
			return Optional.of(Json.read(body, TargetStandIn.Answer.class));
		}
		catch (UncheckedIOException ex) {
			return Optional.empty();
		}
	}

	private void count(Flow flow, String outcome) {
		this.outcomes
			.computeIfAbsent(flow.service() + "/" + flow.operation() + " " + outcome, (name) -> new AtomicInteger())
			.incrementAndGet();
	}

	private InetSocketAddress anyNode(SplittableRandom random) {
		return this.nodes.get(random.nextInt(this.nodes.size()));
	}

	/**
	 * A sequence of requests, sent one at a time.
	 *
	 * @param service the service
	 * @param operation the operation
	 * @param atMostOnce whether the operation must not run twice for one request
	 * @param pauseMillis pause between requests, in milliseconds
	 */
	public record Flow(String service, String operation, boolean atMostOnce, long pauseMillis) {

	}

}
