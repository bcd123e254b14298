package org.eelgrasspitch.testkit.soak;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.eelgrasspitch.testkit.soak.HttpReader.Content;

/**
 * What callers and targets saw. Times are in milliseconds since the start. Can be used
 * from any thread.
 */
final class Evidence {

	private final long startNanos = System.nanoTime();

	private final AtomicLong runNumber = new AtomicLong();

	private final Map<String, Request> requests = new ConcurrentHashMap<>();

	private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();

	private final Map<String, Queue<Attempt>> attemptsByRequest = new ConcurrentHashMap<>();

	private final Map<String, Run> runs = new ConcurrentHashMap<>();

	private final Map<String, Queue<Run>> runsByRequest = new ConcurrentHashMap<>();

	private final Queue<Disturbance> disturbances = new ConcurrentLinkedQueue<>();

	private final Queue<Stray> strays = new ConcurrentLinkedQueue<>();

	long now() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNanos);
	}

	/**
	 * Records a request before it is sent. A request that is known under its identifier
	 * stays as it was.
	 * @param request the request
	 * @return the request of this identifier
	 */
	Request register(Request request) {
		Request known = this.requests.putIfAbsent(request.id(), request);
		return (known != null) ? known : request;
	}

	Attempt attempt(Request request, String vm, boolean first) {
		Attempt attempt = new Attempt(request, vm, first, now());
		this.attempts.add(attempt);
		this.attemptsByRequest.computeIfAbsent(request.id(), (key) -> new ConcurrentLinkedQueue<>()).add(attempt);
		return attempt;
	}

	/**
	 * Records an arrival at a target.
	 * @param id identifier of the request; empty if it has none
	 * @param target identifier of the target's incarnation
	 * @param service service of the target
	 * @param received method, path and body as received
	 * @return the arrival, with a signature of its own
	 */
	Run run(String id, String target, String service, Received received) {
		String signature = "s" + this.runNumber.incrementAndGet() + "." + target;
		Run run = new Run(id, target, service, received, signature, now());
		this.runs.put(signature, run);
		this.runsByRequest.computeIfAbsent(id, (key) -> new ConcurrentLinkedQueue<>()).add(run);
		return run;
	}

	void disturbed(String vm, String kind, long fromMillis) {
		this.disturbances.add(new Disturbance(vm, kind, fromMillis, now()));
	}

	void stray(String vm, String lastId, String start) {
		this.strays.add(new Stray(vm, lastId, start, now()));
	}

	Request request(String id) {
		return this.requests.get(id);
	}

	Collection<Attempt> attempts() {
		return List.copyOf(this.attempts);
	}

	List<Attempt> attemptsOf(String id) {
		Queue<Attempt> known = this.attemptsByRequest.get(id);
		return (known != null) ? List.copyOf(known) : List.of();
	}

	Collection<Run> runs() {
		return List.copyOf(this.runs.values());
	}

	/**
	 * Returns an arrival.
	 * @param signature its signature
	 * @return the arrival, or null if no target gave this signature
	 */
	Run runWith(String signature) {
		return this.runs.get(signature);
	}

	List<Run> runsOf(String id) {
		Queue<Run> known = this.runsByRequest.get(id);
		return (known != null) ? List.copyOf(known) : List.of();
	}

	Collection<Disturbance> disturbances() {
		return List.copyOf(this.disturbances);
	}

	Collection<Stray> strays() {
		return List.copyOf(this.strays);
	}

	/**
	 * Builds a body that differs for each name.
	 * @param name what the body is for
	 * @param length length in bytes
	 * @return the body
	 */
	static byte[] body(String name, int length) {
		String text = (name + ";").repeat(length / (name.length() + 1) + 1).substring(0, length);
		return text.getBytes(StandardCharsets.US_ASCII);
	}

	/**
	 * A request, which may be sent more than once.
	 *
	 * @param id its identifier
	 * @param method its method
	 * @param prefix path prefix of its route
	 * @param path its path
	 * @param bodyBytes length of its body
	 * @param idempotent whether it may run more than once
	 */
	record Request(String id, String method, String prefix, String path, int bodyBytes, boolean idempotent) {

		byte[] body() {
			return Evidence.body(this.id, this.bodyBytes);
		}

	}

	/**
	 * A request as a target received it.
	 *
	 * @param method its method
	 * @param path its path
	 * @param body its body
	 */
	record Received(String method, String path, Content body) {

	}

	/**
	 * A span in which a node was killed, stopped, paused or started.
	 *
	 * @param vm name of its VM
	 * @param kind what was done
	 * @param fromMillis start of the span
	 * @param untilMillis end of the span
	 */
	record Disturbance(String vm, String kind, long fromMillis, long untilMillis) {

	}

	/**
	 * Bytes on a connection with no request waiting.
	 *
	 * @param vm name of the node's VM
	 * @param lastId identifier of the last request on the connection
	 * @param start what the bytes start with
	 * @param atMillis when they were seen
	 */
	record Stray(String vm, String lastId, String start, long atMillis) {

	}

	/**
	 * One sending of a request by a caller. Written by the caller's thread.
	 */
	static final class Attempt {

		final Request request;

		final String vm;

		/** Whether no earlier request waited on the connection. */
		final boolean first;

		final long sentMillis;

		/** When the last byte was written; 0 before. */
		volatile long writtenMillis;

		/** When the answer or the connection ended; 0 before. */
		volatile long endMillis;

		/** Status of the answer; 0 for none. */
		volatile int status;

		/** Header fields of the answer. */
		volatile Map<String, String> fields = Map.of();

		/** Body of a complete answer; null for others. */
		volatile Content body;

		/** How it ended, in words. */
		volatile String end = "open";

		Attempt(Request request, String vm, boolean first, long sentMillis) {
			this.request = request;
			this.vm = vm;
			this.first = first;
			this.sentMillis = sentMillis;
		}

		String signature() {
			return this.fields.get("x-response-signature");
		}

		boolean isSuccess() {
			return this.status >= 200 && this.status < 300;
		}

		@Override
		public String toString() {
			return "sent " + this.sentMillis + " written " + this.writtenMillis + " end " + this.endMillis + " via "
					+ this.vm + ": " + this.status + " " + this.end + " body " + this.body + " " + this.fields;
		}

	}

	/**
	 * An arrival of a request at a target. Written by the target's threads.
	 */
	static final class Run {

		final String id;

		final String target;

		final String service;

		final Received received;

		final String signature;

		final long arrivedMillis;

		/** Whether the target began to work on it. */
		volatile boolean ran;

		/** Whether the target has written the whole answer. */
		volatile boolean answered;

		/** Status that the target gives; 0 before it is known. */
		volatile int status;

		/** Body that the target gives; null before it is known. */
		volatile Content body;

		/** How the target answers, in words. */
		volatile String plan = "";

		/** Times and kinds of the writes of the answer and its copies. */
		private final Queue<String> writes = new ConcurrentLinkedQueue<>();

		Run(String id, String target, String service, Received received, String signature, long arrivedMillis) {
			this.id = id;
			this.target = target;
			this.service = service;
			this.received = received;
			this.signature = signature;
			this.arrivedMillis = arrivedMillis;
		}

		/**
		 * Returns whether the target answered that the request ran and failed.
		 * @return false also when no whole answer was written
		 */
		boolean failed() {
			return this.ran && this.answered && this.status >= 500;
		}

		void written(long atMillis, String what) {
			this.writes.add(what + " " + atMillis);
		}

		@Override
		public String toString() {
			return "arrived " + this.arrivedMillis + " at " + this.target + " (" + this.service + ") " + this.received
					+ ": " + this.status + ((this.ran) ? "" : " not run") + " signature " + this.signature + " body "
					+ this.body + " plan " + this.plan + " writes " + this.writes;
		}

	}

}
