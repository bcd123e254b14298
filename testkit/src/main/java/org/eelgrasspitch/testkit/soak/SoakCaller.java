package org.eelgrasspitch.testkit.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

import org.eelgrasspitch.testkit.Cluster;
import org.eelgrasspitch.testkit.soak.Evidence.Attempt;
import org.eelgrasspitch.testkit.soak.Evidence.Request;

/**
 * A caller on a VM. It sends one request after the other, or some behind each other, and
 * repeats requests that may run more than once under the same identifier.
 */
final class SoakCaller implements Runnable {

	private static final AtomicLong NUMBER = new AtomicLong();

	private static final int TIMEOUT_MILLIS = 4_000;

	private static final int MAX_BODY_BYTES = 300_000;

	private static final int MAX_PAUSE_MILLIS = 60;

	private static final int UNREACHABLE_PAUSE_MILLIS = 200;

	private static final int MAX_REPEATS = 2;

	private final SoakWorld world;

	private final String vm;

	private final Random random;

	private CallerConnection connection;

	SoakCaller(SoakWorld world, String vm, Random random) {
		this.world = world;
		this.vm = vm;
		this.random = random;
	}

	@Override
	public void run() {
		while (!this.world.isOver()) {
			try {
				connect();
				if (chance(6)) {
					new DepartingCaller(this.world, this.vm, this.random).run();
				}
				else if (chance(15)) {
					pipeline();
				}
				else {
					single();
				}
				Cluster.sleep(this.random.nextInt(MAX_PAUSE_MILLIS));
			}
			catch (IOException ex) {
				Cluster.sleep(UNREACHABLE_PAUSE_MILLIS);
			}
		}
		disconnect();
	}

	/**
	 * Sends a request on a connection of its own and waits for the answer.
	 * @param world the deployment
	 * @param request the request
	 * @param vm name of the VM
	 * @param timeoutMillis how long the caller says that it waits
	 * @return the attempt; null if the node could not be reached
	 */
	static Attempt once(SoakWorld world, Request request, String vm, int timeoutMillis) {
		try (CallerConnection connection = world.connect(vm)) {
			Attempt attempt = world.evidence().attempt(request, vm, true);
			connection.send(attempt, timeoutMillis, request.bodyBytes() % 2 == 0);
			connection.read(attempt);
			return attempt;
		}
		catch (IOException ex) {
			return null;
		}
	}

	private void connect() throws IOException {
		if (this.connection != null) {
			this.connection.checkStray();
		}
		if (this.connection == null || !this.connection.isKept() || chance(5)) {
			disconnect();
			this.connection = this.world.connect(this.vm);
		}
	}

	private void disconnect() {
		if (this.connection != null) {
			this.connection.close();
			this.connection = null;
		}
	}

	private void pipeline() {
		List<Attempt> attempts = new ArrayList<>();
		int count = 2 + this.random.nextInt(5);
		for (int position = 0; position < count; position++) {
			Request request = request((chance(20)) ? "HEAD" : "GET", true, 0);
			Attempt attempt = this.world.evidence().attempt(request, this.vm, position == 0);
			attempts.add(attempt);
			this.connection.send(attempt, TIMEOUT_MILLIS, false);
		}
		for (Attempt attempt : attempts) {
			this.connection.read(attempt);
			if (!this.connection.isKept()) {
				return;
			}
		}
	}

	private void single() {
		Request request = anyRequest();
		Attempt attempt = this.world.evidence().attempt(request, this.vm, true);
		this.connection.send(attempt, (chance(10)) ? 700 : TIMEOUT_MILLIS, chance(50));
		if (request.idempotent() && chance(6)) {
			Thread.ofVirtual().start(() -> once(this.world, request, this.world.anyVm(), TIMEOUT_MILLIS));
		}
		if (chance(2)) {
			Cluster.sleep(this.random.nextInt(MAX_PAUSE_MILLIS));
			attempt.end = "given up";
			disconnect();
			return;
		}
		this.connection.read(attempt);
		repeat(attempt);
	}

	private void repeat(Attempt first) {
		Attempt last = first;
		for (int repeat = 0; repeat < MAX_REPEATS && first.request.idempotent(); repeat++) {
			boolean succeeded = last != null && last.isSuccess();
			if (!chance((succeeded) ? 8 : 60)) {
				return;
			}
			String next = (chance(50)) ? this.vm : this.world.anyVm();
			last = once(this.world, first.request, next, TIMEOUT_MILLIS);
		}
	}

	private Request anyRequest() {
		if (chance(12)) {
			return request("POST", false, 1 + this.random.nextInt(MAX_BODY_BYTES));
		}
		if (chance(20)) {
			return request("POST", false, 1 + this.random.nextInt(500));
		}
		return request((chance(10)) ? "HEAD" : "GET", false, 0);
	}

	private Request request(String method, boolean idempotentOnly, int bodyBytes) {
		return request(this.world, this.random, method, idempotentOnly, bodyBytes);
	}

	/**
	 * Creates a request to a random route.
	 * @param world the deployment
	 * @param random source of the choice
	 * @param method the HTTP method
	 * @param idempotentOnly whether the route must be idempotent
	 * @param bodyBytes length of the body in bytes
	 * @return the request, which is registered
	 */
	static Request request(SoakWorld world, Random random, String method, boolean idempotentOnly, int bodyBytes) {
		List<String> prefixes = Routes.prefixes();
		String prefix = prefixes.get(random.nextInt(prefixes.size()));
		while (idempotentOnly && !Routes.isIdempotent(prefix)) {
			prefix = prefixes.get(random.nextInt(prefixes.size()));
		}
		long number = NUMBER.incrementAndGet();
		return world.evidence()
			.register(new Request("q" + number, method, prefix, prefix + "item" + number + "?n=" + number, bodyBytes,
					Routes.isIdempotent(prefix)));
	}

	private boolean chance(int percent) {
		return this.random.nextInt(100) < percent;
	}

}
