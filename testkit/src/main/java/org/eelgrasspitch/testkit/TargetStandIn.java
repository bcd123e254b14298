package org.eelgrasspitch.testkit;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToIntFunction;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import org.eelgrasspitch.misc.Closer;

/**
 * Stands in for a target. {@code POST /{operation}} runs an operation;
 * {@code GET /health} and {@code GET /load} report its state, delayed or false when a
 * fault says so; {@code POST /-/faults} switches faults; {@code GET /-/executions} lists
 * how often each request started.
 * <p>
 * A request takes the service time, three times as long while the target is cold.
 * Requests beyond the number of slots or connections, and all requests while draining,
 * are rejected with status 503 and {@code Request-Ran: no}; a connection carries one
 * request at a time. {@code DELETE /-/requests/{id}} cancels a running request, which
 * then ends at once with status 410; so does a request that reaches its deadline. A
 * request with the header {@code Crash-Target: yes} starts and then crashes the target.
 */
public final class TargetStandIn implements AutoCloseable {

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private static final int GONE = 410;

	private static final int BAD_GATEWAY = 502;

	private static final int COLD_FACTOR = 3;

	private final Closer closer = new Closer();

	private final Options options;

	private final Runnable crash;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private final long startedAt = System.nanoTime();

	private final AtomicInteger running = new AtomicInteger();

	/** Requests received after draining began, whether started or not. */
	private final AtomicInteger receivedWhileDraining = new AtomicInteger();

	/** Requests received, whether started or not. */
	private final AtomicInteger received = new AtomicInteger();

	/** Header fields that all responses to requests carry, by name. */
	private volatile Map<String, String> statements = Map.of();

	/** Number of starts by request identifier; guarded by its own monitor. */
	private final Map<String, Integer> executions;

	/** Cancels a running request, by request identifier. */
	private final Map<String, Runnable> cancellations = new ConcurrentHashMap<>();

	private volatile boolean draining;

	/** Time of the last draining switch, by {@link System#nanoTime()}. */
	private volatile long drainingSwitchedAt;

	/** Delay until the health endpoint reports a draining switch. */
	private volatile long healthLagMillis;

	/** Text that the load endpoint returns instead of the actual load; empty for none. */
	private volatile String loadOverride = "";

	private volatile long serviceMillis;

	/**
	 * Text that the health endpoint returns instead of the actual state; empty for none.
	 */
	private volatile String healthOverride = "";

	/** Calls the next service and returns its status; null when there is none. */
	private volatile ToIntFunction<String> downstream;

	/**
	 * Starts a target.
	 * @param options its properties
	 * @param executions receives the number of starts by request identifier; the caller
	 * keeps it across a crash of this target
	 * @param crash action that simulates a crash
	 */
	public TargetStandIn(Options options, Map<String, Integer> executions, Runnable crash) {
		this.options = options;
		this.executions = executions;
		this.crash = crash;
		this.serviceMillis = options.serviceMillis();
		this.closer.register(this.timer::shutdownNow);
		Jooby app = new Jooby();
		app.get("/health", (context) -> text(context, OK, health()));
		app.get("/load", (context) -> text(context, OK, load()));
		app.get("/-/executions", (context) -> text(context, OK, Json.write(executionList())));
		app.post("/-/faults", this::faults);
		app.delete("/-/requests/{id}", this::cancel);
		app.post("/{operation}", this::run);
		this.closer.register(new StandInServer(app, options.address()));
	}

	/**
	 * Creates a map that records executions.
	 * @return an empty map
	 */
	public static Map<String, Integer> newExecutions() {
		return new TreeMap<>();
	}

	/**
	 * Switches draining on or off.
	 * @param on whether new requests are rejected
	 */
	public void drain(boolean on) {
		this.drainingSwitchedAt = System.nanoTime();
		this.draining = on;
	}

	/**
	 * Sets the service time of a request.
	 * @param millis time in milliseconds
	 */
	public void serviceMillis(long millis) {
		this.serviceMillis = millis;
	}

	/**
	 * Makes every request call another service before it responds. The request gets
	 * status 502 unless that call returns 200.
	 * @param call receives the request's identifier and returns the status of the
	 * response
	 */
	public void downstream(ToIntFunction<String> call) {
		this.downstream = call;
	}

	/**
	 * Sets the header fields that all further responses to requests carry.
	 * @param fields the values by name; may be empty
	 */
	public void state(Map<String, String> fields) {
		this.statements = Map.copyOf(fields);
	}

	/**
	 * Returns how many requests arrived, whether started or not.
	 * @return the number since the start
	 */
	public int received() {
		return this.received.get();
	}

	/**
	 * Returns how many requests arrived while the target was draining.
	 * @return the number since the start
	 */
	public int receivedWhileDraining() {
		return this.receivedWhileDraining.get();
	}

	/**
	 * Returns how often each request started.
	 * @return one entry for each request identifier
	 */
	public List<Execution> executionList() {
		synchronized (this.executions) {
			List<Execution> list = new ArrayList<>();
			this.executions.forEach((id, count) -> list.add(new Execution(id, count)));
			return list;
		}
	}

	@Override
	public void close() {
		this.closer.close();
	}

	private Object run(Context context) throws Exception {
		String id = context.header("Request-Id").value("");
		this.received.incrementAndGet();
		context.setResponseHeader("Request-Id", id);
		this.statements.forEach(context::setResponseHeader);
		if (this.draining) {
			this.receivedWhileDraining.incrementAndGet();
			context.setResponseHeader("Target-State", "leaving");
			return refuse(context);
		}
		int limit = Math.min(this.options.slots(), this.options.connections());
		if (this.running.incrementAndGet() > limit) {
			this.running.decrementAndGet();
			return refuse(context);
		}
		synchronized (this.executions) {
			this.executions.merge(id, 1, Integer::sum);
		}
		if ("yes".equals(context.header("Crash-Target").value(""))) {
			this.crash.run();
			return context;
		}
		long deadline = context.header("Request-Deadline-Millis").longValue(Long.MAX_VALUE);
		String operation = context.path("operation").value();
		int bodyLength = context.body().bytes().length;
		long durationMillis = currentServiceMillis();
		ToIntFunction<String> next = this.downstream;
		if (next != null) {
			return context.detach((detached) -> {
				Thread.startVirtualThread(() -> finish(context, id, operation, bodyLength,
						(next.applyAsInt(id) == OK) ? OK : BAD_GATEWAY));
				return context;
			});
		}
		if (durationMillis == 0) {
			finish(context, id, operation, bodyLength, OK);
			return context;
		}
		return context.detach((detached) -> {
			AtomicBoolean ended = new AtomicBoolean();
			this.cancellations.put(id, () -> end(ended, context, id, operation, bodyLength, true));
			this.timer.schedule(() -> end(ended, context, id, operation, bodyLength, durationMillis > deadline),
					Math.min(durationMillis, deadline), TimeUnit.MILLISECONDS);
			return context;
		});
	}

	private void end(AtomicBoolean ended, Context context, String id, String operation, int bodyLength,
			boolean abandoned) {
		if (ended.compareAndSet(false, true)) {
			this.cancellations.remove(id);
			finish(context, id, operation, bodyLength, abandoned ? GONE : OK);
		}
	}

	private Object cancel(Context context) {
		Runnable cancellation = this.cancellations.get(context.path("id").value());
		if (cancellation != null) {
			cancellation.run();
		}
		return text(context, OK, (cancellation != null) ? "cancelled" : "not running");
	}

	private String load() {
		return this.loadOverride.isEmpty() ? this.running.get() + "/" + this.options.slots() : this.loadOverride;
	}

	private void finish(Context context, String id, String operation, int bodyLength, int status) {
		this.running.decrementAndGet();
		context.setResponseHeader("Request-Id", id);
		String answer = Json.write(new Answer(id, operation, this.options.name(), bodyLength));
		String padding = " ".repeat(this.options.answerPadding());
		text(context, status, answer + padding);
	}

	private long currentServiceMillis() {
		long age = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedAt);
		if (age >= this.options.coldMillis()) {
			return this.serviceMillis;
		}
		return this.serviceMillis * COLD_FACTOR;
	}

	private String health() {
		if (!this.healthOverride.isEmpty()) {
			return this.healthOverride;
		}
		long age = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.drainingSwitchedAt);
		boolean noticed = age >= this.healthLagMillis;
		return (this.draining == noticed) ? "draining" : "ok";
	}

	private Object faults(Context context) {
		context.query("drain").toOptional().ifPresent((on) -> drain(Boolean.parseBoolean(on)));
		context.query("serviceMillis").toOptional().ifPresent((millis) -> serviceMillis(Long.parseLong(millis)));
		context.query("health").toOptional().ifPresent((value) -> this.healthOverride = value);
		context.query("load").toOptional().ifPresent((value) -> this.loadOverride = value);
		context.query("healthLagMillis")
			.toOptional()
			.ifPresent((millis) -> this.healthLagMillis = Long.parseLong(millis));
		return text(context, OK, Integer.toString(receivedWhileDraining()));
	}

	private static Object refuse(Context context) {
		context.setResponseHeader("Request-Ran", "no");
		return text(context, UNAVAILABLE, "not started");
	}

	private static Object text(Context context, int status, String body) {
		context.setResponseCode(StatusCode.valueOf(status));
		context.setResponseType(MediaType.text);
		return context.send(body.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Properties of a target.
	 *
	 * @param name name of its VM
	 * @param address address to listen on
	 * @param slots number of requests that run at a time
	 * @param connections limit of connections; further requests are rejected
	 * @param serviceMillis time that a request takes, in milliseconds
	 * @param coldMillis time after the start during which requests take longer, in
	 * milliseconds
	 * @param answerPadding spaces added to the end of each response, in bytes
	 */
	public record Options(String name, InetSocketAddress address, int slots, int connections, long serviceMillis,
			long coldMillis, int answerPadding) {

	}

	/**
	 * How often a request started.
	 *
	 * @param requestId the request's identifier
	 * @param count number of starts
	 */
	public record Execution(String requestId, int count) {

	}

	/**
	 * Body of a response.
	 *
	 * @param requestId identifier of the request
	 * @param operation the operation that ran
	 * @param target name of the target's VM
	 * @param bodyLength length of the request's body, in bytes
	 */
	public record Answer(String requestId, String operation, String target, int bodyLength) {

	}

}
